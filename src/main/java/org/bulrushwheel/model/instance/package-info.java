/** Instances of the system and their addresses. */
@NullMarked
package org.bulrushwheel.model.instance;

import org.jspecify.annotations.NullMarked;
