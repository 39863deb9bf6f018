package org.bulrushwheel.server.gateway;

/** What all instances know of requests that crash endpoints. Implementations are thread safe. */
public interface PoisonGuard {
    /** Whether any request is suspect, so that fingerprints have to be compared. */
    boolean hasSuspects();

    /** Whether a request must not be sent. */
    boolean isPoison(String fingerprint);

    /** Notes that an endpoint ended the connection of a request in flight. */
    void onCrash(String fingerprint, String endpointId);

    /** Notes that a request was answered. */
    void onAnswer(String fingerprint);
}
