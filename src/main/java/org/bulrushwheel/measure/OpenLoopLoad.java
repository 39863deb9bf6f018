package org.bulrushwheel.measure;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongFunction;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Sends requests at intended times whatever the answers do, and counts latency from those times.
 *
 * <p>Used once; thread safe inside.
 */
final class OpenLoopLoad {
    private static final int MAX_OUTSTANDING = 2_000;
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final Histogram latencyNanos = new ConcurrentHistogram(3);
    private final AtomicLong failed = new AtomicLong();

    /** Runs the load; requests are made by their number. */
    Histogram run(long requestsPerSecond, long count, LongFunction<HttpRequest.Builder> requests) {
        Semaphore outstanding = new Semaphore(MAX_OUTSTANDING);
        long startNanos = System.nanoTime();
        for (long number = 0; number < count; number++) {
            long intendedNanos = startNanos + number * 1_000_000_000L / requestsPerSecond;
            LockSupport.parkNanos(intendedNanos - System.nanoTime());
            outstanding.acquireUninterruptibly();
            send(requests.apply(number), intendedNanos, outstanding);
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

    static HttpRequest.Builder get(String address, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path));
    }

    private void send(HttpRequest.Builder request, long intendedNanos, Semaphore outstanding) {
        client.sendAsync(request.timeout(TIMEOUT).build(), HttpResponse.BodyHandlers.discarding())
                .whenComplete((answer, error) -> {
                    latencyNanos.recordValue(Math.max(0, System.nanoTime() - intendedNanos));
                    if (error != null || answer.statusCode() != 200) {
                        failed.incrementAndGet();
                    }
                    outstanding.release();
                });
    }
}
