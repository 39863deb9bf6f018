package org.bulrushwheel.server.gateway;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Either;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.refusal.Refusal;
import org.bulrushwheel.model.refusal.RefusalReason;
import org.bulrushwheel.model.upstream.Upstream;
import org.bulrushwheel.server.upstreams.UpstreamService;

/**
 * Picks the local endpoint with the fewest requests of this instance; knows nothing of other instances.
 *
 * <p>Thread safe.
 */
public final class LeastLoadSlotSource implements SlotSource {
    private final String zone;
    private final UpstreamService upstreams;
    private final TimeSource time;
    private final MetricRegistry metrics;
    private final Map<String, AtomicInteger> inFlightById = new ConcurrentHashMap<>();

    /** A source of the endpoints of a zone. */
    public LeastLoadSlotSource(String zone, UpstreamService upstreams, TimeSource time, MetricRegistry metrics) {
        this.zone = zone;
        this.upstreams = upstreams;
        this.time = time;
        this.metrics = metrics;
    }

    @Override
    public CompletableFuture<Either<Refusal, SlotLease>> acquire(SlotQuery query) {
        Optional<Upstream> best = upstreams.directory().available(query.service(), zone, time.epochMillis()).stream()
                .filter(upstream -> !query.excluded().contains(upstream.id()))
                .min(Comparator.comparingDouble(this::load));
        if (best.isEmpty()) {
            return CompletableFuture.completedFuture(Either.left(
                    Refusal.notRun(RefusalReason.NO_UPSTREAM, query.service()).withRetryAfterSeconds(1)));
        }
        AtomicInteger inFlight = inFlightOf(best.get());
        inFlight.incrementAndGet();
        metrics.counter("slots.acquired").inc();
        return CompletableFuture.completedFuture(Either.right(new CountedLease(best.get(), inFlight)));
    }

    private double load(Upstream upstream) {
        return inFlightOf(upstream).get() / (double) upstream.slots();
    }

    private AtomicInteger inFlightOf(Upstream upstream) {
        return inFlightById.computeIfAbsent(upstream.id(), id -> new AtomicInteger());
    }

    private record CountedLease(Upstream upstream, AtomicInteger inFlight, AtomicBoolean released)
            implements SlotLease {
        CountedLease(Upstream upstream, AtomicInteger inFlight) {
            this(upstream, inFlight, new AtomicBoolean());
        }

        @Override
        public void release(AttemptOutcome outcome) {
            if (released.compareAndSet(false, true)) {
                inFlight.decrementAndGet();
            }
        }
    }
}
