package org.bulrushwheel.server.edge;

/** Hears the one outcome of a request that was sent to an endpoint. Called on the event loop. */
interface AttemptListener {
    /** The endpoint's whole answer; the listener takes over its body. */
    void onAnswer(EdgeAnswer answer);

    /** The connection ended or broke the protocol before a whole answer; the request may have run. */
    void onBroken(String reason);
}
