package org.bulrushwheel.wire;

/**
 * Time-outs of the attempts to connect to a peer. The first are short, since a packet to a machine without power is lost
 * and sent again only after a second, when the machine may long be back; later ones leave a slow link the time it needs.
 *
 * <p>Not thread safe: guarded by its {@link PeerLink}.
 */
final class ConnectBackoff {
    private static final int FIRST_TIMEOUT_MILLIS = 250;
    private static final int MAX_TIMEOUT_MILLIS = 2_000;
    private static final int PAUSE_MILLIS = 100;

    private int timeoutMillis = FIRST_TIMEOUT_MILLIS;

    /** Returns the time-out of the next attempt in milliseconds. */
    int timeoutMillis() {
        return timeoutMillis;
    }

    /** Returns the pause before the next attempt in milliseconds, after one has failed. */
    int onFailure() {
        timeoutMillis = Math.min(MAX_TIMEOUT_MILLIS, 2 * timeoutMillis);
        return PAUSE_MILLIS;
    }

    void onSuccess() {
        timeoutMillis = FIRST_TIMEOUT_MILLIS;
    }
}
