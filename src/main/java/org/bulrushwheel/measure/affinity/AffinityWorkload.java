package org.bulrushwheel.measure.affinity;

/**
 * A load of requests for objects, and what serves it.
 *
 * <p>Immutable and thread safe.
 *
 * @param entryInstances entry instances, in equal parts in each region
 * @param regions regions, each with objects of its own
 * @param endpointsPerRegion endpoints in each region
 * @param slots requests that an endpoint runs at once
 * @param queue requests that wait at an endpoint; beyond it refuses
 * @param objectsKept objects that an endpoint handles faster, those used last
 * @param objectsPerRegion objects of each region
 * @param coldMillis time for an object that is not among them
 * @param warmPart part of that time for one that is
 * @param targetMillis time within which an answer is in time
 * @param timeoutMillis time after which nobody waits
 * @param requestsPerSecond requests of all regions
 * @param swing part by which a region's requests rise and fall, each at another time
 */
public record AffinityWorkload(
        int entryInstances,
        int regions,
        int endpointsPerRegion,
        int slots,
        int queue,
        int objectsKept,
        int objectsPerRegion,
        double coldMillis,
        double warmPart,
        double targetMillis,
        double timeoutMillis,
        double requestsPerSecond,
        double swing) {
    /** Few machines, few objects, long work: each instance hears an endpoint's load once in seconds. */
    public static AffinityWorkload ofCaseFiles(double requestsPerSecond, double swing) {
        return new AffinityWorkload(24, 3, 7, 4, 12, 27, 48, 950, 0.3, 650, 1_200, requestsPerSecond, swing);
    }

    /** Returns a deployment so many times as large under so many times the load. */
    public AffinityWorkload times(int factor) {
        return new AffinityWorkload(
                factor * entryInstances,
                regions,
                factor * endpointsPerRegion,
                slots,
                queue,
                objectsKept,
                factor * objectsPerRegion,
                coldMillis,
                warmPart,
                targetMillis,
                timeoutMillis,
                factor * requestsPerSecond,
                swing);
    }

    /** Returns the requests a second that fill all slots when every object is handled faster. */
    public double warmCapacityPerSecond() {
        return regions * endpointsPerRegion * slots * 1_000.0 / (coldMillis * warmPart);
    }
}
