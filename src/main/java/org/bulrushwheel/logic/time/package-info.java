/** Sources of time, real or virtual. */
@NullMarked
package org.bulrushwheel.logic.time;

import org.jspecify.annotations.NullMarked;
