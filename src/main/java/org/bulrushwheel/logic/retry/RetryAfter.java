package org.bulrushwheel.logic.retry;

import java.util.OptionalLong;

import org.bulrushwheel.logic.hash.StableHash;

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

    // Callers that were refused together don't come back together.
    private static final double SPREAD = 0.2;

    private RetryAfter() {}

    /**
     * Returns the time in milliseconds after which a caller is to try again when all endpoints pause; it differs between
     * callers.
     *
     * @param pauseMillis time until the first endpoint takes requests again
     * @param requestId ID of the caller's request
     */
    public static long afterPauseMillis(long pauseMillis, String requestId) {
        double spread = SPREAD * StableHash.unit(requestId, "retry-after");
        return Math.max(MIN_DELAY_MILLIS, Math.round(pauseMillis * (1 + spread)));
    }

    /**
     * Returns the milliseconds that a {@code Retry-After} header names in seconds, also in parts of a second; empty if it
     * is negative, a date or unreadable.
     */
    public static OptionalLong parseMillis(String seconds) {
        try {
            double value = Double.parseDouble(seconds.strip());
            return value >= 0 && !Double.isInfinite(value)
                    ? OptionalLong.of((long) Math.ceil(value * 1_000))
                    : OptionalLong.empty();
        } catch (NumberFormatException e) {
            // The remedy is the endpoint's; the caller of this method counts it.
            return OptionalLong.empty();
        }
    }

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
