/** Decisions that a process makes and logs, as typed events. */
@NullMarked
package org.bulrushwheel.model.decision;

import org.jspecify.annotations.NullMarked;
