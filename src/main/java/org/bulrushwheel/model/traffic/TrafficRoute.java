package org.bulrushwheel.model.traffic;

import java.util.List;
import java.util.Set;

/**
 * Rules for forwarding the requests with one host and path prefix.
 *
 * <p>Immutable and thread safe.
 *
 * @param name name of the route
 * @param host host in lower case
 * @param pathPrefix begins and ends with a slash
 * @param kind whether requests may be repeated
 * @param timeoutMillis maximum time that a caller waits for a response
 * @param targetLatencyMillis time within which a response is most valuable
 * @param priority priority of its requests, 0 is the highest
 * @param split services and their weights
 * @param maxAttempts maximum number of endpoints that one attempt of a caller is sent to
 * @param affinity whether an endpoint is faster with an object that it has handled recently
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
