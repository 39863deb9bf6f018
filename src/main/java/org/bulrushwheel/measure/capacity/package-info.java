/** Estimates memory, network traffic and processor time of each role at the planned fleet size from measured slopes. */
@NullMarked
package org.bulrushwheel.measure.capacity;

import org.jspecify.annotations.NullMarked;
