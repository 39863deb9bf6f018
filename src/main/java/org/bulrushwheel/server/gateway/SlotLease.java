package org.bulrushwheel.server.gateway;

import org.bulrushwheel.model.upstream.Upstream;

/** Permission to run one request on one endpoint. Held by one request at a time. */
public interface SlotLease {
    /** Returns the endpoint. */
    Upstream upstream();

    /**
     * Gives the permission back, once.
     *
     * @param outcome how the request ended
     * @param bytes bytes of the request and its answer
     */
    void release(AttemptOutcome outcome, long bytes);
}
