package org.bulrushwheel.model.config;

/**
 * A block of client addresses and the availability zone that serves it best.
 *
 * <p>Immutable and thread safe.
 *
 * @param cidr address prefix, such as 10.1.0.0/16
 * @param zone name of the availability zone
 */
public record ClientBlock(String cidr, String zone) {}
