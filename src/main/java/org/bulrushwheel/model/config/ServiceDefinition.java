package org.bulrushwheel.model.config;

import java.util.List;
import java.util.Optional;

/**
 * A service, its owning team and its routes, of which the one with the longest matching prefix applies.
 *
 * <p>Immutable and thread safe.
 *
 * @param name unique in the configuration
 * @param team name of the owning team
 * @param routes at least one
 */
public record ServiceDefinition(String name, String team, List<Route> routes) {
    /** Copies the routes. */
    public ServiceDefinition {
        routes = List.copyOf(routes);
    }

    /** Returns the route with the longest matching prefix; a specific method takes precedence over {@code *}. */
    public Optional<Route> routeFor(String method, String path) {
        Route best = null;
        for (Route route : routes) {
            if (route.matches(method, path) && (best == null || isMoreSpecific(route, best))) {
                best = route;
            }
        }
        return Optional.ofNullable(best);
    }

    private static boolean isMoreSpecific(Route candidate, Route best) {
        int difference = candidate.pathPrefix().length() - best.pathPrefix().length();
        if (difference != 0) {
            return difference > 0;
        }
        return Route.ANY_METHOD.equals(best.method()) && !Route.ANY_METHOD.equals(candidate.method());
    }
}
