package org.bulrushwheel.model.config;

/**
 * A planned drain: what it names gets no new work while it stands.
 *
 * <p>Immutable and thread safe.
 *
 * @param kind what is drained
 * @param name name of the region, availability zone, instance or endpoint
 */
public record Drain(DrainKind kind, String name) {}
