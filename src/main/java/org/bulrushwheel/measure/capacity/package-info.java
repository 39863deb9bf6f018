/** State, messages and processor time of each role at the size that is planned for, from measured slopes. */
@NullMarked
package org.bulrushwheel.measure.capacity;

import org.jspecify.annotations.NullMarked;
