package org.bulrushwheel.logic.retry;

/**
 * Bounds retries to a fraction of fresh requests, so that retries cannot multiply an overload.
 *
 * <p>Invariant: retries so far never exceed the reserve plus the fraction of fresh requests so far. Thread safe.
 */
public final class RetryBudget {
    private static final long UNITS_PER_RETRY = 1_000;

    private final long unitsPerRequest;
    private final long maxUnits;
    private long units;

    /**
     * A budget with a full reserve.
     *
     * @param retriesPerThousand retries that a thousand fresh requests earn
     * @param reserve retries that are allowed without traffic before them
     */
    public RetryBudget(long retriesPerThousand, long reserve) {
        this.unitsPerRequest = retriesPerThousand;
        this.maxUnits = reserve * UNITS_PER_RETRY;
        this.units = maxUnits;
    }

    /** Counts a fresh request. */
    public synchronized void onRequest() {
        units = Math.min(maxUnits, units + unitsPerRequest);
    }

    /** Takes one retry; false when the budget is spent. */
    public synchronized boolean tryRetry() {
        if (units < UNITS_PER_RETRY) {
            return false;
        }
        units -= UNITS_PER_RETRY;
        return true;
    }
}
