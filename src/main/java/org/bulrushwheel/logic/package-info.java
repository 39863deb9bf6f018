/** Decision logic without I/O; clocks and random sources are passed in. */
@NullMarked
package org.bulrushwheel.logic;

import org.jspecify.annotations.NullMarked;
