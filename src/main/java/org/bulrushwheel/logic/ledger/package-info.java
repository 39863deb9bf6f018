/** Run ledger: claimed idempotency keys, and the answers stored for repeated requests. */
@NullMarked
package org.bulrushwheel.logic.ledger;

import org.jspecify.annotations.NullMarked;
