package org.bulrushwheel.server.gateway;

import java.util.concurrent.CompletableFuture;

import io.vavr.control.Either;
import org.bulrushwheel.model.refusal.Refusal;

/** Source of slot leases for the gateway. Implementations are thread safe. */
public interface SlotSource {
    /** Requests a lease; the future completes with a lease or, at the query's deadline at the latest, with a refusal. */
    CompletableFuture<Either<Refusal, SlotLease>> acquire(SlotQuery query);
}
