package org.bulrushwheel.logic.retry;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One entry instance's part of the retries that all may send to a service in a sliding window.
 *
 * <p>Invariant: retries in any window stay within the ratio of this instance's own requests in it plus an equal part of
 * the shared slack, both less a safety margin; so the sum over all instances stays within the shared bound without a
 * message. Not thread safe.
 */
public final class WindowedRetryBudget {
    // Instances may count each other late, and windows of the bound slide.
    private static final double USED_PART = 0.7;

    private final long windowMillis;
    private final double ratio;
    private final double slack;
    private final Deque<Long> requestMillis = new ArrayDeque<>();
    private final Deque<Long> retryMillis = new ArrayDeque<>();

    /**
     * A budget.
     *
     * @param windowMillis length of the sliding window
     * @param ratio retries for each request
     * @param slack retries beyond that for all instances together
     */
    public WindowedRetryBudget(long windowMillis, double ratio, double slack) {
        this.windowMillis = windowMillis;
        this.ratio = ratio;
        this.slack = slack;
    }

    /** Counts a request of a caller. */
    public void onRequest(long nowMillis) {
        forget(nowMillis);
        requestMillis.addLast(nowMillis);
    }

    /** Takes one retry; false when this instance's part is spent. */
    public boolean tryRetry(long nowMillis, int instances) {
        forget(nowMillis);
        double allowed = USED_PART * (ratio * requestMillis.size() + slack / Math.max(1, instances));
        if (retryMillis.size() + 1 > allowed) {
            return false;
        }
        retryMillis.addLast(nowMillis);
        return true;
    }

    private void forget(long nowMillis) {
        while (!requestMillis.isEmpty() && requestMillis.peekFirst() <= nowMillis - windowMillis) {
            requestMillis.removeFirst();
        }
        while (!retryMillis.isEmpty() && retryMillis.peekFirst() <= nowMillis - windowMillis) {
            retryMillis.removeFirst();
        }
    }
}
