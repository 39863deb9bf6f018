package org.bulrushwheel.model.config;

/**
 * A region: one or more availability zones that share the links to other regions.
 *
 * <p>Immutable and thread safe.
 *
 * @param name unique in the configuration
 */
public record Region(String name) {}
