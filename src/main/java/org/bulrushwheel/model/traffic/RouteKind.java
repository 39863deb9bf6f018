package org.bulrushwheel.model.traffic;

/** What may be repeated on a route. */
public enum RouteKind {
    /** Idempotent: a request may run more than once. */
    REPEATABLE,
    /** Not idempotent: each attempt of a caller runs at most once. */
    ONCE
}
