package org.bulrushwheel.server.gateway;

import java.util.concurrent.CompletableFuture;

import org.bulrushwheel.model.proto.ClaimKey;
import org.bulrushwheel.model.proto.CommandResult;
import org.bulrushwheel.model.proto.StoredAnswer;

/** Claims of idempotency keys. Implementations are thread safe. */
public interface RunLedger {
    /** Claims a key; KEY_CLAIMED allows one dispatch. NO_QUORUM leaves the outcome open. */
    CompletableFuture<CommandResult> claim(ClaimKey claim);

    /** Stores that the claimed request ran; completes when it is stored or cannot be. */
    CompletableFuture<CommandResult> complete(ClaimKey claim, StoredAnswer answer, boolean answerKept);

    /** Stores that nobody can tell whether the claimed request ran. */
    CompletableFuture<CommandResult> completeUnknown(ClaimKey claim);

    /** Ends a claim under which nothing reached an upstream. */
    CompletableFuture<CommandResult> release(ClaimKey claim);

    /** Whether the instance that holds a claim still runs the process that made it. */
    boolean isHolderAlive(String holder, long incarnation);
}
