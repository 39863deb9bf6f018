/** Routes, services and limits by which entry instances forward requests. */
@NullMarked
package org.bulrushwheel.model.traffic;

import org.jspecify.annotations.NullMarked;
