package org.bulrushwheel.logic.placement;

/**
 * Load and health of one incarnation of an endpoint as one entry instance sees them: its own requests, load reports, and
 * failures.
 *
 * <p>Not thread safe.
 */
final class EndpointLoad {
    // A report is stale once the requests that it counted have ended.
    private static final long REPORT_VALID_MILLIS = 700;
    // Instances send each other only the loads of full endpoints, so one without a report is not taken for idle.
    private static final double REQUESTS_PER_SLOT_WITHOUT_REPORT = 0.5;
    // Bounds the weight of an endpoint that hangs, so that it alone does not make its region full.
    private static final double MAX_REQUESTS_PER_SLOT = 2;
    private static final long FIRST_SUSPENSION_MILLIS = 500;
    private static final long MAX_SUSPENSION_MILLIS = 4_000;

    private int inFlight;
    private int requestsOfOtherInstances;
    private long reportMillis = Long.MIN_VALUE;
    private long reportDeadlineMillis;
    private int consecutiveFailures;
    private long suspendedUntilMillis;
    private double coldTokens;
    private long coldTokensUpdatedMillis;
    private boolean coldStarted;

    void sent() {
        inFlight++;
    }

    void ended() {
        inFlight--;
    }

    /** Records a load report unless a later one is present. */
    void reported(int runningAndWaiting, long seenMillis) {
        if (seenMillis < reportMillis) {
            return;
        }
        reportMillis = seenMillis;
        requestsOfOtherInstances = Math.max(0, runningAndWaiting - inFlight);
        reportDeadlineMillis = seenMillis + REPORT_VALID_MILLIS;
    }

    void succeeded() {
        consecutiveFailures = 0;
        suspendedUntilMillis = 0;
    }

    long failed(long nowMillis) {
        consecutiveFailures = Math.min(consecutiveFailures + 1, 8);
        long suspendedMillis = Math.min(MAX_SUSPENSION_MILLIS, FIRST_SUSPENSION_MILLIS << (consecutiveFailures - 1));
        suspendedUntilMillis = nowMillis + suspendedMillis;
        return suspendedMillis;
    }

    boolean isSuspended(long nowMillis) {
        return nowMillis < suspendedUntilMillis;
    }

    int estimate(long nowMillis) {
        return inFlight + (nowMillis < reportDeadlineMillis ? requestsOfOtherInstances : 0);
    }

    /** Returns the estimated requests per slot, within fixed bounds. */
    double requestsPerSlot(int slots, long nowMillis) {
        boolean reportValid = nowMillis < reportDeadlineMillis;
        double minimum = reportValid ? 0 : REQUESTS_PER_SLOT_WITHOUT_REPORT;
        return Math.max(minimum, Math.min(MAX_REQUESTS_PER_SLOT, estimate(nowMillis) / (double) slots));
    }

    /** Returns the expected wait of one more request, in milliseconds. */
    double waitMillis(int slots, double serviceMillis, long nowMillis) {
        return Math.max(0, estimate(nowMillis) + 1 - slots) * serviceMillis / slots;
    }

    int inFlight() {
        return inFlight;
    }

    /** Takes a token from this instance's token bucket for a cold endpoint; false if there is none. */
    boolean tryAcquireColdToken(double tokensPerSecond, double initialTokens, long nowMillis) {
        if (!coldStarted) {
            coldStarted = true;
            coldTokens = initialTokens;
            coldTokensUpdatedMillis = nowMillis;
        }
        coldTokens = Math.min(1, coldTokens + tokensPerSecond * (nowMillis - coldTokensUpdatedMillis) / 1_000.0);
        coldTokensUpdatedMillis = nowMillis;
        if (coldTokens < 1) {
            return false;
        }
        coldTokens -= 1;
        return true;
    }

    void resetColdTokens() {
        coldStarted = false;
    }
}
