package org.bulrushwheel.standin;

import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.bulrushwheel.client.HttpCaller;

/**
 * Periodically registers a stand-in upstream with the entry instances. Each announcement goes to one of them, in
 * round-robin order.
 *
 * <p>Thread safe.
 */
public final class Announcer implements AutoCloseable {
    private static final long VALID_FOR_MILLIS = 5_000;

    private final StandInUpstream upstream;
    private final List<String> entryAddresses;
    private final HttpCaller http;
    private final AtomicLong sequence = new AtomicLong(System.currentTimeMillis());
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "announcer");
        thread.setDaemon(true);
        return thread;
    });

    /**
     * Creates an announcer; call {@link #start()} to begin announcing.
     *
     * @param upstream stand-in upstream to announce
     * @param entryAddresses HTTP addresses (IP:PORT) of the entry instances, at least one
     * @param http client that sends the announcements
     */
    public Announcer(StandInUpstream upstream, List<String> entryAddresses, HttpCaller http) {
        this.upstream = upstream;
        this.entryAddresses = List.copyOf(entryAddresses);
        this.http = http;
    }

    /** Announces the endpoint immediately and then with a delay of one second between announcements. */
    public Announcer start() {
        announce();
        scheduler.scheduleWithFixedDelay(this::announce, 1, 1, TimeUnit.SECONDS);
        return this;
    }

    /** Stops the periodic announcements and withdraws the endpoint at one entry instance. */
    public void leave() {
        scheduler.shutdownNow();
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
        scheduler.shutdownNow();
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
