package org.bulrushwheel.server.gateway;

import java.util.concurrent.CompletableFuture;

import org.bulrushwheel.model.proto.ClaimKey;
import org.bulrushwheel.model.proto.CommandResult;
import org.bulrushwheel.model.proto.StoredAnswer;

/** Ledger of claimed idempotency keys and stored answers. Implementations are thread safe. */
public interface RunLedger {
    /** Claims a key. KEY_CLAIMED permits one dispatch; after NO_QUORUM it is unknown whether the claim succeeded. */
    CompletableFuture<CommandResult> claim(ClaimKey claim);

    /** Records that the claimed request ran; the future completes when this is stored or cannot be stored. */
    CompletableFuture<CommandResult> complete(ClaimKey claim, StoredAnswer answer, boolean answerKept);

    /** Records that it is unknown whether the claimed request ran. */
    CompletableFuture<CommandResult> completeUnknown(ClaimKey claim);

    /** Releases a claim whose request did not run at any upstream. */
    CompletableFuture<CommandResult> release(ClaimKey claim);

    /** Returns whether the process that made a claim is still alive, as identified by instance name and incarnation. */
    boolean isHolderAlive(String holder, long incarnation);
}
