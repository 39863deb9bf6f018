package org.bulrushwheel.logic.placement;

import java.util.Set;

import org.bulrushwheel.model.traffic.TrafficRoute;

/**
 * A request that needs an endpoint.
 *
 * <p>Immutable and thread safe.
 *
 * @param route route of the request
 * @param service service that the route's split has chosen
 * @param key object of the request, or the request's own id where it names none
 * @param affinity whether the object's endpoint is worth a wait
 * @param tried endpoints that are not to be chosen again
 */
public record PlacementQuery(TrafficRoute route, String service, String key, boolean affinity, Set<String> tried) {
    /** Copies the endpoints tried. */
    public PlacementQuery {
        tried = Set.copyOf(tried);
    }
}
