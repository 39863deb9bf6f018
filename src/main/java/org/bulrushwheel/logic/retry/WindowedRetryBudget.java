package org.bulrushwheel.logic.retry;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One entry instance's share of the retry budget that all entry instances have for a service in a sliding window.
 *
 * <p>Invariant: the retries in any window stay within the ratio of this instance's own requests in it plus an equal
 * share of the common slack, both reduced by a safety margin; so all instances together stay within the common bound
 * without exchanging messages. Not thread safe.
 */
public final class WindowedRetryBudget {
    // Margin for outdated instance counts and for the sliding windows of the common bound.
    private static final double SAFETY_FACTOR = 0.7;

    private final long windowMillis;
    private final double ratio;
    private final double slack;
    private final Deque<Long> requestTimesMillis = new ArrayDeque<>();
    private final Deque<Long> retryTimesMillis = new ArrayDeque<>();

    /**
     * Creates a budget without requests.
     *
     * @param windowMillis length of the sliding window in milliseconds
     * @param ratio retries allowed per request
     * @param slack additional retries per window for all instances together
     */
    public WindowedRetryBudget(long windowMillis, double ratio, double slack) {
        this.windowMillis = windowMillis;
        this.ratio = ratio;
        this.slack = slack;
    }

    /** Counts a request from a caller. */
    public void onRequest(long nowMillis) {
        evictExpired(nowMillis);
        requestTimesMillis.addLast(nowMillis);
    }

    /** Takes one retry; false if this instance's share is exhausted. */
    public boolean tryRetry(long nowMillis, int instances) {
        evictExpired(nowMillis);
        double allowed = SAFETY_FACTOR * (ratio * requestTimesMillis.size() + slack / Math.max(1, instances));
        if (retryTimesMillis.size() + 1 > allowed) {
            return false;
        }
        retryTimesMillis.addLast(nowMillis);
        return true;
    }

    private void evictExpired(long nowMillis) {
        while (!requestTimesMillis.isEmpty() && requestTimesMillis.peekFirst() <= nowMillis - windowMillis) {
            requestTimesMillis.removeFirst();
        }
        while (!retryTimesMillis.isEmpty() && retryTimesMillis.peekFirst() <= nowMillis - windowMillis) {
            retryTimesMillis.removeFirst();
        }
    }
}
