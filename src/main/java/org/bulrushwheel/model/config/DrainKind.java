package org.bulrushwheel.model.config;

/** Kinds of objects that can be drained. */
public enum DrainKind {
    REGION,
    ZONE,
    INSTANCE,
    ENDPOINT
}
