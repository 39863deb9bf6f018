package org.bulrushwheel.server.gateway;

import org.bulrushwheel.model.upstream.Upstream;

/** Lease of one slot of an endpoint, which permits one request. Held by one request at a time. */
public interface SlotLease {
    /** Returns the endpoint. */
    Upstream upstream();

    /** Records that the endpoint says in a response that it leaves. */
    default void endpointLeaves() {}

    /** Records that the endpoint wants no requests from this instance for some time. */
    default void endpointPauses(long pauseMillis) {}

    /** Whether the endpoint has asked for no more requests since the lease was given; then nothing may be sent. */
    default boolean isHeld() {
        return false;
    }

    /**
     * Releases the lease; must be called exactly once.
     *
     * @param outcome outcome of the attempt
     * @param bytes body bytes of the request and the response
     */
    void release(AttemptOutcome outcome, long bytes);
}
