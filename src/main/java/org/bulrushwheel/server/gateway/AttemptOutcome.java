package org.bulrushwheel.server.gateway;

/** How an attempt on an endpoint ended, as far as the endpoint's health is concerned. */
public enum AttemptOutcome {
    /** A whole answer came. */
    ANSWERED,
    /** The endpoint refused work without running it. */
    SHED,
    /** No connection could be opened. */
    CONNECT_FAILED,
    /** The connection ended or went silent after the request was sent. */
    FAILED,
    /** Nothing can be said: the caller went away or the attempt was not made. */
    NEUTRAL
}
