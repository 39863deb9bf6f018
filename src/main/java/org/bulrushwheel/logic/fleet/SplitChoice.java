package org.bulrushwheel.logic.fleet;

import org.bulrushwheel.logic.hash.StableHash;
import org.bulrushwheel.model.traffic.TrafficRoute;
import org.bulrushwheel.model.traffic.WeightedService;

/**
 * Selects the service of a request by the weights of its route's traffic split.
 *
 * <p>Stateless and thread safe.
 */
public final class SplitChoice {
    private SplitChoice() {}

    /** Returns the service for a request; the same request id always maps to the same service. */
    public static String of(TrafficRoute route, String requestId) {
        double total =
                route.split().stream().mapToDouble(WeightedService::weight).sum();
        double point = StableHash.unit(requestId, route.name()) * total;
        for (WeightedService target : route.split()) {
            point -= target.weight();
            if (point < 0) {
                return target.service();
            }
        }
        return route.split().get(route.split().size() - 1).service();
    }
}
