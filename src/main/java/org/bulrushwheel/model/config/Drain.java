package org.bulrushwheel.model.config;

/**
 * A planned drain: the named object receives no new requests while the drain is in force.
 *
 * <p>Immutable and thread safe.
 *
 * @param kind kind of the drained object
 * @param name name of the region, availability zone, instance or endpoint
 */
public record Drain(DrainKind kind, String name) {}
