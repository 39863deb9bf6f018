package org.bulrushwheel.logic.fleet;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import org.bulrushwheel.model.traffic.TrafficConfiguration;
import org.bulrushwheel.model.traffic.TrafficRoute;

/**
 * Finds the route of a request by its host and the longest matching path prefix.
 *
 * <p>Immutable and thread safe.
 */
public final class RouteTable {
    private final Map<String, List<TrafficRoute>> byHost = new HashMap<>();

    /** Builds the table from the routes of a configuration. */
    public RouteTable(TrafficConfiguration configuration) {
        configuration.routes().stream()
                .sorted(Comparator.comparingInt(
                        (TrafficRoute route) -> -route.pathPrefix().length()))
                .forEach(route -> byHost.computeIfAbsent(route.host(), host -> new java.util.ArrayList<>())
                        .add(route));
    }

    /** Returns the route of a request, if any; the port in the Host header is ignored. */
    public Optional<TrafficRoute> find(String hostHeader, String path) {
        for (TrafficRoute route : byHost.getOrDefault(hostOf(hostHeader), List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static String hostOf(String hostHeader) {
        int colon = hostHeader.lastIndexOf(':');
        boolean hasPort = colon > 0 && hostHeader.indexOf(']', colon) < 0;
        return (hasPort ? hostHeader.substring(0, colon) : hostHeader).toLowerCase(Locale.ROOT);
    }
}
