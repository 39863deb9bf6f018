package org.bulrushwheel.measure.steer;

/**
 * Outcome of a run.
 *
 * <p>Immutable and thread safe.
 *
 * @param p50Millis median latency of answers
 * @param p99Millis 99th percentile
 * @param sheds requests that endpoints refused
 * @param overRegion requests sent to a region whose slots were all taken
 * @param answeredPerSecond goodput
 * @param refusalsPerRequest refusals that callers saw, for each request
 * @param lostShare share of the requests whose caller gave up
 * @param worstLinkShare most bytes over one link in a second, as a share of its capacity
 * @param lastWorkMillis time from the leave of an endpoint to the last new work it was sent
 */
record SteerResult(
        double p50Millis,
        double p99Millis,
        long sheds,
        long overRegion,
        double answeredPerSecond,
        double refusalsPerRequest,
        double lostShare,
        double worstLinkShare,
        double lastWorkMillis) {}
