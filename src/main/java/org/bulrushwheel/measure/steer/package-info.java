/** Steering policies on virtual time with small fakes, at the sizes of the two users. */
@NullMarked
package org.bulrushwheel.measure.steer;

import org.jspecify.annotations.NullMarked;
