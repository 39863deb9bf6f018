package org.bulrushwheel.model.config;

/**
 * The most traffic that a service may be sent during a shift, over all instances together.
 *
 * <p>Immutable and thread safe.
 *
 * @param service name of the service
 * @param shift name of the shift
 * @param requestsPerSecond the cap
 */
public record ShiftCap(String service, String shift, long requestsPerSecond) {}
