package org.bulrushwheel.logic.retry;

/**
 * Decides for how long a connection to an endpoint is waited for: while this instance's own link is busy, longer, since
 * every endpoint is late then.
 *
 * <p>Invariant: an endpoint is blamed only if the link was idle whenever it was asked. Not thread safe.
 */
public final class ConnectPatience {
    // Longer than two round trips between regions.
    private static final long TIMEOUT_MILLIS = 400;
    private static final long MAX_TIMEOUT_MILLIS = 1_500;
    private static final long CHECK_INTERVAL_MILLIS = 100;

    private final long startMillis;
    private boolean linkWasBusy;

    /** Starts to wait. */
    public ConnectPatience(long startMillis) {
        this.startMillis = startMillis;
    }

    /** Returns the longest wait of all, in milliseconds. */
    public static long maxTimeoutMillis() {
        return MAX_TIMEOUT_MILLIS;
    }

    /**
     * Returns in how many milliseconds to ask again; 0 if the connection is to be given up now.
     *
     * @param linkBusy whether this instance's own link is busy
     */
    public long waitMillis(boolean linkBusy, long nowMillis) {
        long elapsedMillis = nowMillis - startMillis;
        if (elapsedMillis < TIMEOUT_MILLIS) {
            return TIMEOUT_MILLIS - elapsedMillis;
        }
        linkWasBusy = linkWasBusy || linkBusy;
        boolean waits = linkBusy && elapsedMillis < MAX_TIMEOUT_MILLIS;
        return waits ? Math.min(CHECK_INTERVAL_MILLIS, MAX_TIMEOUT_MILLIS - elapsedMillis) : 0;
    }

    /** Whether a connection that was given up speaks against its endpoint. */
    public boolean blamesEndpoint() {
        return !linkWasBusy;
    }
}
