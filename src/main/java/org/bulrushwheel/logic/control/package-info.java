/** The replicated control state: accepted configurations, operators and the run ledger. */
@NullMarked
package org.bulrushwheel.logic.control;

import org.jspecify.annotations.NullMarked;
