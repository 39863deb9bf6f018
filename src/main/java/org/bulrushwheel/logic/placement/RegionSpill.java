package org.bulrushwheel.logic.placement;

import java.util.HashMap;
import java.util.Map;

import org.bulrushwheel.logic.hash.StableHash;

/**
 * Fraction of a service's objects that go to their second region while their first is full and others have capacity.
 *
 * <p>Invariants: a fraction changes by at most {@value #STEP} in {@value #STEP_MILLIS} ms, so that few requests change
 * their region at once; all instances spill the same objects first, so that these are served from cache there too. Not
 * thread safe.
 */
final class RegionSpill {
    // Moves 8% of the requests in two seconds, half of what users allow to change region in that time.
    static final double STEP = 0.02;
    static final long STEP_MILLIS = 500;
    private static final double MAX_FRACTION = 0.5;
    // Mean over the endpoints of a region; above 1, requests wait.
    private static final double FULL_REQUESTS_PER_SLOT = 1.0;
    private static final double RELAXED_REQUESTS_PER_SLOT = 0.75;
    private static final double MAX_RELATIVE_LOAD_OF_TARGET = 0.8;

    private final Map<String, Double> fractionByRegion = new HashMap<>();
    private long nextStepMillis;

    boolean isDue(long nowMillis) {
        return nowMillis >= nextStepMillis;
    }

    /** Adjusts the fractions to the mean requests per slot of each region; one without endpoints starts again at 0. */
    void step(Map<String, Double> requestsPerSlotByRegion, long nowMillis) {
        nextStepMillis = nowMillis + STEP_MILLIS;
        fractionByRegion.keySet().retainAll(requestsPerSlotByRegion.keySet());
        requestsPerSlotByRegion.forEach((region, requestsPerSlot) -> {
            double lowestOther = requestsPerSlotByRegion.entrySet().stream()
                    .filter(other -> !other.getKey().equals(region))
                    .mapToDouble(Map.Entry::getValue)
                    .min()
                    .orElse(Double.MAX_VALUE);
            if (requestsPerSlot > FULL_REQUESTS_PER_SLOT
                    && lowestOther < MAX_RELATIVE_LOAD_OF_TARGET * requestsPerSlot) {
                adjust(region, STEP);
            } else if (requestsPerSlot < RELAXED_REQUESTS_PER_SLOT || lowestOther > requestsPerSlot) {
                adjust(region, -STEP);
            }
        });
    }

    /** Whether an object with the given first region goes to its second. */
    boolean spills(String object, String firstRegion) {
        double fraction = fractionByRegion.getOrDefault(firstRegion, 0.0);
        return fraction > 0 && StableHash.unit(object, "spill") < fraction;
    }

    private void adjust(String region, double step) {
        double fraction = fractionByRegion.getOrDefault(region, 0.0) + step;
        fractionByRegion.put(region, Math.max(0, Math.min(MAX_FRACTION, fraction)));
    }
}
