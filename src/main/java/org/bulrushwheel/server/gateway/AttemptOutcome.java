package org.bulrushwheel.server.gateway;

/** Outcome of an attempt at an endpoint, as a signal of the endpoint's health. */
public enum AttemptOutcome {
    /** The endpoint returned a complete response. */
    ANSWERED,
    /** The endpoint refused the request without running it. */
    SHED,
    /** No connection could be opened. */
    CONNECT_FAILED,
    /** The connection failed or timed out after the request was sent. */
    FAILED,
    /** No information about the endpoint: the caller disconnected or the attempt was not made. */
    NEUTRAL
}
