/** Decisions: no I/O, no clock and no random source of their own; both are passed in. */
@NullMarked
package org.bulrushwheel.logic;

import org.jspecify.annotations.NullMarked;
