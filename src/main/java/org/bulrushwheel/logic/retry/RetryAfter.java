package org.bulrushwheel.logic.retry;

/**
 * Computes the retry delay for callers whose request was refused.
 *
 * <p>Stateless and thread safe.
 */
public final class RetryAfter {
    // A caller that retries sooner finds the same endpoints busy with the same requests.
    private static final long MIN_DELAY_MILLIS = 300;
    // Callers wait at most a third of their remaining time.
    private static final int REMAINING_TIME_DIVISOR = 3;

    private RetryAfter() {}

    /**
     * Returns the time in milliseconds after which an endpoint is expected to be free, within the bounds for a delay.
     *
     * @param minWaitMillis expected wait at the endpoint with the shortest wait
     * @param remainingMillis time until the caller's deadline
     */
    public static long millis(double minWaitMillis, long remainingMillis) {
        long maxDelayMillis = Math.max(MIN_DELAY_MILLIS, remainingMillis / REMAINING_TIME_DIVISOR);
        return Math.max(MIN_DELAY_MILLIS, Math.min(maxDelayMillis, Math.round(minWaitMillis)));
    }
}
