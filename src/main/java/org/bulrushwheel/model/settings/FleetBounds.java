package org.bulrushwheel.model.settings;

/**
 * Bounds that the instances of a deployment keep together.
 *
 * <p>Immutable and thread safe.
 *
 * @param stopGraceSeconds time between the signal to stop and the end
 * @param retryWindowSeconds window of the bound on retries
 * @param retryRatio retries for each request in it
 * @param retrySlack retries beyond that
 * @param coldLoadFactor how far a cold endpoint's rate may be exceeded
 * @param coldSlackRequests requests in a second that a cold endpoint bears beyond that
 * @param announcementSeconds pause between an endpoint's announcements
 * @param lookupValidSeconds longest time that a look-up may be cached
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
    /** Returns the time between the signal to stop and the end. */
    public long stopGraceMillis() {
        return millis(stopGraceSeconds);
    }

    /** Returns the window of the bound on retries. */
    public long retryWindowMillis() {
        return millis(retryWindowSeconds);
    }

    /** Returns the pause between an endpoint's announcements. */
    public long announcementMillis() {
        return millis(announcementSeconds);
    }

    private static long millis(double seconds) {
        return Math.round(seconds * 1_000);
    }
}
