package org.bulrushwheel.model.settings;

/**
 * Limits and timings shared by all instances of a deployment.
 *
 * <p>Immutable and thread safe.
 *
 * @param stopGraceSeconds time between the stop signal and the exit
 * @param retryWindowSeconds window of the retry budget
 * @param retryRatio retries allowed per request in the window
 * @param retrySlack retries allowed in addition, for all instances together
 * @param coldLoadFactor factor applied to the request rate of a cold endpoint
 * @param coldSlackRequests requests per second allowed to a cold endpoint in addition
 * @param announcementSeconds interval between an endpoint's announcements
 * @param lookupValidSeconds maximum time that a lookup may be cached
 */
public record FleetBounds(
        double stopGraceSeconds,
        double retryWindowSeconds,
        double retryRatio,
        double retrySlack,
        double coldLoadFactor,
        double coldSlackRequests,
        double announcementSeconds,
        double lookupValidSeconds) {
    /** Returns the time between the stop signal and the exit. */
    public long stopGraceMillis() {
        return millis(stopGraceSeconds);
    }

    /** Returns the window of the retry budget. */
    public long retryWindowMillis() {
        return millis(retryWindowSeconds);
    }

    /** Returns the interval between an endpoint's announcements. */
    public long announcementMillis() {
        return millis(announcementSeconds);
    }

    private static long millis(double seconds) {
        return Math.round(seconds * 1_000);
    }
}
