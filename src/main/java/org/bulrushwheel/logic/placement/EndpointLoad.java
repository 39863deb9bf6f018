package org.bulrushwheel.logic.placement;

/**
 * What one entry instance knows of an endpoint from its own requests.
 *
 * <p>Not thread safe.
 */
final class EndpointLoad {
    // A report says little once the requests it counted have ended.
    private static final long REPORT_VALID_MILLIS = 700;
    // Only full endpoints are told of.
    private static final double UNKNOWN_PRESSURE = 0.5;
    // One endpoint that hangs does not make a region full.
    private static final double MOST_PRESSURE = 2;
    private static final long FIRST_SUSPENSION_MILLIS = 500;
    private static final long LONGEST_SUSPENSION_MILLIS = 4_000;

    private int inFlight;
    private int reportedOfOthers;
    private long reportedMillis = Long.MIN_VALUE;
    private long reportDeadlineMillis;
    private int failuresInARow;
    private long suspendedDeadlineMillis;
    private double coldTokens;
    private long coldTokensAtMillis;
    private boolean coldStarted;

    void sent() {
        inFlight++;
    }

    void ended() {
        inFlight--;
    }

    /** Takes a report unless a later one is known. */
    void reported(int runningAndWaiting, long seenMillis) {
        if (seenMillis < reportedMillis) {
            return;
        }
        reportedMillis = seenMillis;
        reportedOfOthers = Math.max(0, runningAndWaiting - inFlight);
        reportDeadlineMillis = seenMillis + REPORT_VALID_MILLIS;
    }

    void succeeded() {
        failuresInARow = 0;
        suspendedDeadlineMillis = 0;
    }

    long failed(long nowMillis) {
        failuresInARow = Math.min(failuresInARow + 1, 8);
        long suspendedMillis = Math.min(LONGEST_SUSPENSION_MILLIS, FIRST_SUSPENSION_MILLIS << (failuresInARow - 1));
        suspendedDeadlineMillis = nowMillis + suspendedMillis;
        return suspendedMillis;
    }

    boolean isSuspended(long nowMillis) {
        return nowMillis < suspendedDeadlineMillis;
    }

    int estimate(long nowMillis) {
        return inFlight + (nowMillis < reportDeadlineMillis ? reportedOfOthers : 0);
    }

    /** Returns the requests for each slot. */
    double pressure(int slots, long nowMillis) {
        boolean known = nowMillis < reportDeadlineMillis;
        double least = known ? 0 : UNKNOWN_PRESSURE;
        return Math.max(least, Math.min(MOST_PRESSURE, estimate(nowMillis) / (double) slots));
    }

    /** Returns the time that one more request would wait. */
    double waitMillis(int slots, double serviceMillis, long nowMillis) {
        return Math.max(0, estimate(nowMillis) + 1 - slots) * serviceMillis / slots;
    }

    int inFlight() {
        return inFlight;
    }

    /** Takes a request of this instance's part of what a cold endpoint bears. */
    boolean takeCold(double perSecond, double firstTokens, long nowMillis) {
        if (!coldStarted) {
            coldStarted = true;
            coldTokens = firstTokens;
            coldTokensAtMillis = nowMillis;
        }
        coldTokens = Math.min(1, coldTokens + perSecond * (nowMillis - coldTokensAtMillis) / 1_000.0);
        coldTokensAtMillis = nowMillis;
        if (coldTokens < 1) {
            return false;
        }
        coldTokens -= 1;
        return true;
    }

    void warm() {
        coldStarted = false;
    }
}
