package org.bulrushwheel.model.traffic;

/** Whether the requests of a route may be repeated. */
public enum RouteKind {
    /** Idempotent: a request may run more than once. */
    REPEATABLE,
    /** Not idempotent: each attempt of a caller runs at most once. */
    ONCE
}
