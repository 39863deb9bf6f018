package org.bulrushwheel.server.edge;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;

import org.bulrushwheel.model.traffic.Endpoint;

/**
 * Finds out whether an endpoint that broke a connection runs on: it accepts a new connection at once and keeps it open.
 *
 * <p>Invariants: at most one check of an endpoint is in progress; an endpoint that has crashed and started again is not
 * taken for one that runs on, as long as its start takes longer than {@link #MAX_MILLIS}. Not thread safe: confined to
 * one event loop.
 */
final class SurvivalCheck {
    private static final long MAX_MILLIS = 500;

    private final EdgeContext context;
    private final BiConsumer<String, String> survivalListener;
    private final Map<String, Set<String>> suspectsByEndpoint = new HashMap<>();

    /**
     * Creates the check.
     *
     * @param survivalListener called with the fingerprint of each request that an endpoint has survived, and its id
     */
    SurvivalCheck(EdgeContext context, BiConsumer<String, String> survivalListener) {
        this.context = context;
        this.survivalListener = survivalListener;
    }

    /** Checks an endpoint that has just broken the connection of a request. */
    void begin(Endpoint endpoint, String fingerprint) {
        Set<String> waiting = suspectsByEndpoint.get(endpoint.id());
        if (waiting != null) {
            waiting.add(fingerprint);
            return;
        }
        suspectsByEndpoint.put(endpoint.id(), new HashSet<>(Set.of(fingerprint)));
        long deadlineMillis = context.nowMillis() + MAX_MILLIS;
        EndpointPool pool = context.poolOf(endpoint);
        pool.acquireNew(acquired -> {
            if (acquired.isLeft() || context.nowMillis() > deadlineMillis) {
                acquired.forEach(connection -> pool.returnConnection(connection, Optional.empty()));
                suspectsByEndpoint.remove(endpoint.id());
                return;
            }
            EndpointConnection connection = acquired.get();
            context.runAfter(MAX_MILLIS, () -> end(endpoint, pool, connection));
        });
    }

    private void end(Endpoint endpoint, EndpointPool pool, EndpointConnection connection) {
        Set<String> survived = suspectsByEndpoint.remove(endpoint.id());
        if (connection.isOpen()) {
            pool.returnConnection(connection, Optional.empty());
            survived.forEach(fingerprint -> survivalListener.accept(fingerprint, endpoint.id()));
        }
    }
}
