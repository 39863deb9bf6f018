package org.bulrushwheel.logic.retry;

/**
 * When a caller whose request was refused is to come back.
 *
 * <p>Stateless and thread safe.
 */
public final class RetryAfter {
    // A caller that comes back sooner meets the same endpoints with the same requests.
    private static final long LEAST_MILLIS = 300;
    // Callers wait no longer than a third of the time that they have left.
    private static final int PARTS_OF_THE_TIME_LEFT = 3;

    private RetryAfter() {}

    /**
     * Returns the time after which an endpoint is expected to be free, within what the caller has.
     *
     * @param leastWaitMillis expected wait at the endpoint with the shortest one
     * @param leftMillis time that the caller has left
     */
    public static long millis(double leastWaitMillis, long leftMillis) {
        long mostMillis = Math.max(LEAST_MILLIS, leftMillis / PARTS_OF_THE_TIME_LEFT);
        return Math.max(LEAST_MILLIS, Math.min(mostMillis, Math.round(leastWaitMillis)));
    }
}
