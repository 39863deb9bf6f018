package org.bulrushwheel.model.config;

/**
 * Limit of the request rate of a service during a shift, over all instances together.
 *
 * <p>Immutable and thread safe.
 *
 * @param service name of the service
 * @param shift name of the shift
 * @param requestsPerSecond the cap
 */
public record ShiftCap(String service, String shift, long requestsPerSecond) {}
