package org.bulrushwheel.measure.affinity;

/**
 * A workload of requests for objects, and the simulated deployment that serves it.
 *
 * <p>Immutable and thread safe.
 *
 * @param entryInstances number of entry instances, spread evenly over the regions
 * @param regions number of regions; each has its own set of objects
 * @param endpointsPerRegion number of endpoints in each region
 * @param slots number of requests that an endpoint executes concurrently
 * @param queue maximum queue length of an endpoint; it rejects requests beyond that
 * @param objectsKept number of most recently used objects that an endpoint caches and handles faster
 * @param objectsPerRegion number of distinct objects in each region
 * @param coldMillis mean execution time for an object that is not cached
 * @param warmPart execution time for a cached object as a fraction of {@code coldMillis}
 * @param targetMillis target latency
 * @param timeoutMillis time-out of the caller
 * @param requestsPerSecond mean request rate of all regions together
 * @param swing relative amplitude of the periodic change of a region's request rate; the phase differs by region
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
    /** Few endpoints, few objects and long executions: an instance sees an endpoint's load only every few seconds. */
    public static AffinityWorkload ofCaseFiles(double requestsPerSecond, double swing) {
        return new AffinityWorkload(24, 3, 7, 4, 12, 27, 48, 950, 0.3, 650, 1_200, requestsPerSecond, swing);
    }

    /** Returns this workload with the deployment, the objects and the request rate multiplied by the factor. */
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

    /** Returns the request rate per second that fills all slots if every object is cached. */
    public double warmCapacityPerSecond() {
        return regions * endpointsPerRegion * slots * 1_000.0 / (coldMillis * warmPart);
    }
}
