package org.bulrushwheel.measure;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongFunction;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.bulrushwheel.client.HttpAnswer;

/**
 * Sends requests at intended times whatever the answers do, and counts latency from those times.
 *
 * <p>Used once; thread safe inside.
 */
final class OpenLoopLoad {
    private static final int MAX_OUTSTANDING = 2_000;

    private final Histogram latencyNanos = new ConcurrentHistogram(3);
    private final AtomicLong failed = new AtomicLong();

    /** Runs the load; calls are begun by their number. */
    Histogram run(long requestsPerSecond, long count, LongFunction<CompletableFuture<HttpAnswer>> calls) {
        Semaphore outstanding = new Semaphore(MAX_OUTSTANDING);
        long startNanos = System.nanoTime();
        for (long number = 0; number < count; number++) {
            long intendedNanos = startNanos + number * 1_000_000_000L / requestsPerSecond;
            LockSupport.parkNanos(intendedNanos - System.nanoTime());
            outstanding.acquireUninterruptibly();
            count(calls.apply(number), intendedNanos, outstanding);
        }
        outstanding.acquireUninterruptibly(MAX_OUTSTANDING);
        return latencyNanos;
    }

    Histogram latency() {
        return latencyNanos;
    }

    long failed() {
        return failed.get();
    }

    private void count(CompletableFuture<HttpAnswer> call, long intendedNanos, Semaphore outstanding) {
        call.thenAccept(answer -> {
            latencyNanos.recordValue(Math.max(0, System.nanoTime() - intendedNanos));
            if (answer.status() != 200) {
                failed.incrementAndGet();
            }
            outstanding.release();
        });
    }
}
