package org.bulrushwheel.logic.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.bulrushwheel.model.traffic.ServicePolicy;
import org.bulrushwheel.model.traffic.TrafficConfiguration;
import org.bulrushwheel.model.traffic.TrafficRoute;
import org.bulrushwheel.model.traffic.WeightedService;

/**
 * Finds every fault of a traffic configuration.
 *
 * <p>Stateless and thread safe.
 */
public final class TrafficChecker {
    // A target a minute beyond the timeout can only be a slip of units.
    private static final long MAX_TARGET_BEYOND_TIMEOUT_MILLIS = 60_000;

    private TrafficChecker() {}

    /** Returns the faults, each with its remedy. */
    public static List<String> check(TrafficConfiguration configuration) {
        List<String> faults = new ArrayList<>();
        Set<String> services =
                configuration.services().stream().map(ServicePolicy::name).collect(Collectors.toSet());
        Set<String> places = new HashSet<>();
        for (TrafficRoute route : configuration.routes()) {
            checkRoute(route, services, faults);
            if (!places.add(route.host() + route.pathPrefix())) {
                faults.add(route.name() + ": another route has this host and prefix; remove one");
            }
        }
        return faults;
    }

    private static void checkRoute(TrafficRoute route, Set<String> services, List<String> faults) {
        if (!route.pathPrefix().startsWith("/")) {
            faults.add(route.name() + ": the path prefix must begin with a slash; add it");
        }
        if (route.targetLatencyMillis() - route.timeoutMillis() >= MAX_TARGET_BEYOND_TIMEOUT_MILLIS) {
            faults.add(route.name() + ": the target latency lies beyond the timeout; raise the timeout");
        }
        for (WeightedService part : route.split()) {
            if (!services.contains(part.service())) {
                faults.add(route.name() + ": service '" + part.service() + "' is unknown; define it");
            }
            if (part.weight() < 0) {
                faults.add(route.name() + ": a weight is negative; use 0 or more");
            }
        }
        if (route.split().stream().mapToDouble(WeightedService::weight).sum() <= 0) {
            faults.add(route.name() + ": the weights add up to 0; give one service a weight");
        }
    }
}
