package org.bulrushwheel.server.gateway;

import org.bulrushwheel.model.upstream.Upstream;

/** Lease of one slot of an endpoint, which permits one request. Held by one request at a time. */
public interface SlotLease {
    /** Returns the endpoint. */
    Upstream upstream();

    /**
     * Releases the lease; must be called exactly once.
     *
     * @param outcome outcome of the attempt
     * @param bytes body bytes of the request and the response
     */
    void release(AttemptOutcome outcome, long bytes);
}
