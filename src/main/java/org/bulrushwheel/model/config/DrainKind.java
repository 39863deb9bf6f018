package org.bulrushwheel.model.config;

/** What a drain can name. */
public enum DrainKind {
    REGION,
    ZONE,
    INSTANCE,
    ENDPOINT
}
