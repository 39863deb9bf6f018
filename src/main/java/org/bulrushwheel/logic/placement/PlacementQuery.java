package org.bulrushwheel.logic.placement;

import java.util.Set;

import org.bulrushwheel.model.traffic.TrafficRoute;

/**
 * A request that needs an endpoint.
 *
 * <p>Immutable and thread safe.
 *
 * @param route route of the request
 * @param service service chosen by the traffic split of the route
 * @param key key of the request's object, or the request id if it has no object
 * @param affinity whether requests for an object should go to the same endpoint even if they have to wait there
 * @param tried ids of the endpoints that must not be chosen again
 */
public record PlacementQuery(TrafficRoute route, String service, String key, boolean affinity, Set<String> tried) {
    /** Copies the set of tried endpoints. */
    public PlacementQuery {
        tried = Set.copyOf(tried);
    }
}
