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
 * Validates a traffic configuration and reports every fault.
 *
 * <p>Stateless and thread safe.
 */
public final class TrafficChecker {
    // A target latency that exceeds the timeout by a minute or more is taken for a mistake in units.
    private static final long MAX_TARGET_BEYOND_TIMEOUT_MILLIS = 60_000;

    private TrafficChecker() {}

    /** Returns the faults, each with its remedy; empty when the configuration is valid. */
    public static List<String> check(TrafficConfiguration configuration) {
        List<String> faults = new ArrayList<>();
        Set<String> services =
                configuration.services().stream().map(ServicePolicy::name).collect(Collectors.toSet());
        Set<String> hostsWithPrefix = new HashSet<>();
        for (TrafficRoute route : configuration.routes()) {
            checkRoute(route, services, faults);
            if (!hostsWithPrefix.add(route.host() + route.pathPrefix())) {
                faults.add(route.name() + ": another route has the same host and path prefix; remove one of them");
            }
        }
        return faults;
    }

    private static void checkRoute(TrafficRoute route, Set<String> services, List<String> faults) {
        if (!route.pathPrefix().startsWith("/")) {
            faults.add(route.name() + ": the path prefix must start with a slash; add it");
        }
        if (route.targetLatencyMillis() - route.timeoutMillis() >= MAX_TARGET_BEYOND_TIMEOUT_MILLIS) {
            faults.add(route.name() + ": the target latency exceeds the timeout by 60 s or more; "
                    + "check the units or raise the timeout");
        }
        for (WeightedService target : route.split()) {
            if (!services.contains(target.service())) {
                faults.add(route.name() + ": service '" + target.service() + "' is unknown; define it");
            }
            if (target.weight() < 0) {
                faults.add(route.name() + ": a weight is negative; use 0 or more");
            }
        }
        if (route.split().stream().mapToDouble(WeightedService::weight).sum() <= 0) {
            faults.add(route.name() + ": the weights add up to 0; give one service a weight");
        }
    }
}
