package org.bulrushwheel.standin;

import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.bulrushwheel.client.HttpCaller;

/**
 * Announces a stand-in to entry instances again and again, to each in turn.
 *
 * <p>Thread safe.
 */
public final class Announcer implements AutoCloseable {
    private static final long VALID_FOR_MILLIS = 5_000;

    private final StandInUpstream upstream;
    private final List<String> entryAddresses;
    private final HttpCaller http;
    private final AtomicLong sequence = new AtomicLong(System.currentTimeMillis());
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "announcer");
        thread.setDaemon(true);
        return thread;
    });

    /** An announcer that speaks to these entry instances. */
    public Announcer(StandInUpstream upstream, List<String> entryAddresses, HttpCaller http) {
        this.upstream = upstream;
        this.entryAddresses = List.copyOf(entryAddresses);
        this.http = http;
    }

    /** Announces once and then every second. */
    public Announcer start() {
        announce();
        timer.scheduleWithFixedDelay(this::announce, 1, 1, TimeUnit.SECONDS);
        return this;
    }

    /** Says that the endpoint leaves; nothing is announced any more. */
    public void leave() {
        timer.shutdownNow();
        StandInBehaviour behaviour = upstream.behaviour();
        http.call(
                "DELETE",
                address(),
                path() + "?zone=" + behaviour.zone() + "&sequence=" + sequence.incrementAndGet(),
                Map.of(),
                new byte[0]);
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }

    private void announce() {
        StandInBehaviour behaviour = upstream.behaviour();
        String body = String.format(
                "{\"zone\":\"%s\",\"address\":\"%s\",\"slots\":%d,\"validForMillis\":%d,\"servingForMillis\":%d,"
                        + "\"sequence\":%d,\"reportedLoadPercent\":%d}",
                behaviour.zone(),
                upstream.address(),
                behaviour.slots(),
                VALID_FOR_MILLIS,
                upstream.servingForMillis(),
                sequence.incrementAndGet(),
                upstream.reportedLoadPercent());
        http.call("PUT", address(), path(), Map.of(), body.getBytes(java.nio.charset.StandardCharsets.UTF_8));
    }

    private String path() {
        return "/v1/upstreams/" + upstream.behaviour().service() + "/"
                + upstream.behaviour().endpoint();
    }

    private String address() {
        return entryAddresses.get((int) (sequence.get() % entryAddresses.size()));
    }
}
