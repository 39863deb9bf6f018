package org.bulrushwheel.server.gateway;

import java.util.concurrent.CompletableFuture;

import io.vavr.control.Either;
import org.bulrushwheel.model.refusal.Refusal;

/** Where the gateway gets permission to use endpoints. Implementations are thread safe. */
public interface SlotSource {
    /** Completes with a lease, or with a refusal at the query's deadline at the latest. */
    CompletableFuture<Either<Refusal, SlotLease>> acquire(SlotQuery query);
}
