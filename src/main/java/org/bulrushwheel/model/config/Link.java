package org.bulrushwheel.model.config;

/**
 * The link between two regions, with the same capacity in each direction.
 *
 * <p>Immutable and thread safe.
 *
 * @param from one region
 * @param to the other region
 * @param capacityBytesPerSecond capacity in one direction
 */
public record Link(String from, String to, long capacityBytesPerSecond) {}
