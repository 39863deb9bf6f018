package org.bulrushwheel.measure.affinity;

/**
 * Outcome of a simulated workload, without the requests that started during the warm-up unless stated otherwise.
 *
 * <p>Immutable and thread safe.
 *
 * @param requests number of requests sent by callers
 * @param inTime number of requests answered within the target latency
 * @param late number of requests answered after the target latency
 * @param lost number of requests that failed or timed out
 * @param fasterRuns share of the executed requests, including the warm-up, whose object was in the cache of the endpoint
 * @param movedPart largest share of a region's requests that changed the executing region between consecutive windows of
 *     2 s
 */
public record AffinityResult(int requests, int inTime, int late, int lost, double fasterRuns, double movedPart) {
    /** Returns the share of the requests that was answered within the target latency. */
    public double inTimePart() {
        return inTime / (double) Math.max(1, requests);
    }
}
