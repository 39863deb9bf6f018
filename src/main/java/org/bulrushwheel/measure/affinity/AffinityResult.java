package org.bulrushwheel.measure.affinity;

/**
 * What came of a load.
 *
 * <p>Immutable and thread safe.
 *
 * @param requests requests
 * @param inTime answers in time
 * @param late answers later than that
 * @param lost requests without an answer
 * @param fasterRuns part of the runs whose endpoint had handled the object
 * @param movedPart largest part of a region's requests that changed the region of their run from one window of 2 s to the
 *     next
 */
public record AffinityResult(int requests, int inTime, int late, int lost, double fasterRuns, double movedPart) {
    /** Returns the part of the requests that is answered in time. */
    public double inTimePart() {
        return inTime / (double) Math.max(1, requests);
    }
}
