package org.bulrushwheel.model.traffic;

/**
 * What entry instances keep to towards the endpoints of a service.
 *
 * <p>Immutable and thread safe.
 *
 * @param name name of the service
 * @param healthPath path of the health check
 * @param maxConnections most connections of all callers to one endpoint
 * @param coldStartMillis how long an endpoint is cold after its start
 * @param coldRequestsPerSecond requests a second that a cold endpoint bears
 */
public record ServicePolicy(
        String name, String healthPath, int maxConnections, long coldStartMillis, double coldRequestsPerSecond) {}
