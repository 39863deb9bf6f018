package org.bulrushwheel.server.gateway;

/** Registry, shared by all instances, of requests that crash endpoints. Implementations are thread safe. */
public interface PoisonGuard {
    /** Returns whether there are suspected requests; if not, fingerprints need not be computed. */
    boolean hasSuspects();

    /** Returns whether a request crashed too many endpoints to be sent to another one. */
    boolean isPoison(String fingerprint);

    /** Records that the connection to an endpoint failed while the request was in flight. */
    void onCrash(String fingerprint, String endpointId);

    /** Records that a request was answered, which clears it of suspicion. */
    void onAnswer(String fingerprint);
}
