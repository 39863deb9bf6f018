package org.bulrushwheel.model.traffic;

import java.util.List;
import java.util.Set;

/**
 * How requests of one host below one path prefix are carried.
 *
 * <p>Immutable and thread safe.
 *
 * @param name name of the route
 * @param host host in lower case
 * @param pathPrefix begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMillis longest time a caller is kept waiting
 * @param targetLatencyMillis time within which an answer is worth most
 * @param priority rank, 0 is the highest
 * @param split services and their weights
 * @param maxAttempts most endpoints that one attempt of a caller is sent to
 * @param affinity whether an endpoint that has handled an object recently works faster
 * @param homeRegions regions that may serve the route; empty means all
 */
public record TrafficRoute(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        long timeoutMillis,
        long targetLatencyMillis,
        int priority,
        List<WeightedService> split,
        int maxAttempts,
        boolean affinity,
        Set<String> homeRegions) {
    /** Copies the collections. */
    public TrafficRoute {
        split = List.copyOf(split);
        homeRegions = Set.copyOf(homeRegions);
    }

    /** Whether a region may serve the route. */
    public boolean isHome(String region) {
        return homeRegions.isEmpty() || homeRegions.contains(region);
    }
}
