package org.bulrushwheel.logic.placement;

/**
 * What one entry instance knows of an endpoint from its own requests.
 *
 * <p>Not thread safe.
 */
final class EndpointLoad {
    // A report says little once the requests it counted have ended.
    private static final long REPORT_VALID_MILLIS = 700;
    private static final long FIRST_SUSPENSION_MILLIS = 500;
    private static final long LONGEST_SUSPENSION_MILLIS = 4_000;

    private int inFlight;
    private int reportedOfOthers;
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

    void reported(int runningAndWaiting, long nowMillis) {
        reportedOfOthers = Math.max(0, runningAndWaiting - inFlight);
        reportDeadlineMillis = nowMillis + REPORT_VALID_MILLIS;
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
