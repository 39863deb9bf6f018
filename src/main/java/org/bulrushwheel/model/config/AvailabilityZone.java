package org.bulrushwheel.model.config;

/**
 * An availability zone with its own entry instances and upstreams.
 *
 * <p>Immutable and thread safe.
 *
 * @param name unique in the configuration
 * @param region name of the region that contains it
 */
public record AvailabilityZone(String name, String region) {}
