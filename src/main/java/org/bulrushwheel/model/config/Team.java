package org.bulrushwheel.model.config;

/**
 * A team that owns services.
 *
 * <p>Immutable and thread safe.
 *
 * @param name unique in the configuration
 */
public record Team(String name) {}
