/** Routes, services and limits that entry instances carry requests by. */
@NullMarked
package org.bulrushwheel.model.traffic;

import org.jspecify.annotations.NullMarked;
