/** Replicated control state: accepted configuration, change history, operators, fleet state and run ledger. */
@NullMarked
package org.bulrushwheel.logic.control;

import org.jspecify.annotations.NullMarked;
