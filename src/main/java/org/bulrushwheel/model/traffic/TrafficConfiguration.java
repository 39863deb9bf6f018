package org.bulrushwheel.model.traffic;

import java.util.List;

/**
 * Routes, services and limits under one version.
 *
 * <p>Immutable and thread safe.
 *
 * @param version higher versions replace lower ones
 * @param routes routes in the order of the document
 * @param services services that the routes refer to
 * @param limits limits for callers
 */
public record TrafficConfiguration(
        long version, List<TrafficRoute> routes, List<ServicePolicy> services, CallerLimits limits) {
    /** Copies the lists. */
    public TrafficConfiguration {
        routes = List.copyOf(routes);
        services = List.copyOf(services);
    }
}
