package org.bulrushwheel.model.traffic;

/**
 * Rules that entry instances follow for the endpoints of a service.
 *
 * <p>Immutable and thread safe.
 *
 * @param name name of the service
 * @param healthPath path of the health check
 * @param maxConnections maximum number of connections to one endpoint, over all callers
 * @param coldStartMillis how long an endpoint is cold after its start
 * @param coldRequestsPerSecond requests per second that a cold endpoint can handle
 */
public record ServicePolicy(
        String name, String healthPath, int maxConnections, long coldStartMillis, double coldRequestsPerSecond) {}
