package org.bulrushwheel.logic.retry;

/**
 * Limits retries to a fraction of the new requests, so that retries cannot amplify an overload.
 *
 * <p>Invariant: the number of retries never exceeds the reserve plus the fraction of the new requests. Thread safe.
 */
public final class RetryBudget {
    private static final long UNITS_PER_RETRY = 1_000;

    private final long unitsPerRequest;
    private final long maxUnits;
    private long units;

    /**
     * Creates a budget with a full reserve.
     *
     * @param retriesPerThousand retries allowed for each thousand new requests
     * @param reserve retries allowed without preceding requests
     */
    public RetryBudget(long retriesPerThousand, long reserve) {
        this.unitsPerRequest = retriesPerThousand;
        this.maxUnits = reserve * UNITS_PER_RETRY;
        this.units = maxUnits;
    }

    /** Counts a new request, which is not a retry. */
    public synchronized void onRequest() {
        units = Math.min(maxUnits, units + unitsPerRequest);
    }

    /** Takes one retry from the budget; false if the budget is exhausted. */
    public synchronized boolean tryRetry() {
        if (units < UNITS_PER_RETRY) {
            return false;
        }
        units -= UNITS_PER_RETRY;
        return true;
    }
}
