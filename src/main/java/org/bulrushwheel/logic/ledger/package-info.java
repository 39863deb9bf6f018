/** Run ledger: which idempotency keys are claimed, and the answers kept for their resends. */
@NullMarked
package org.bulrushwheel.logic.ledger;

import org.jspecify.annotations.NullMarked;
