package org.bulrushwheel.logic.placement;

import java.util.HashMap;
import java.util.Map;

import org.bulrushwheel.logic.hash.StableHash;

/**
 * The part of a service's objects that go to their second region while their first is full and others have room.
 *
 * <p>Invariants: a part changes by at most {@value #STEP} in {@value #STEP_MILLIS} ms, so that few requests change the region
 * of their run at once; the same objects go first on all instances, so that they are handled faster there too. Not thread
 * safe.
 */
final class RegionSpill {
    // 8 in 100 requests in two seconds: half of what users let change the region in that time.
    static final double STEP = 0.02;
    static final long STEP_MILLIS = 500;
    private static final double MOST = 0.5;
    // Requests for each slot: more than one wait, on the mean of a region's endpoints.
    private static final double FULL = 1.0;
    private static final double AT_EASE = 0.75;
    private static final double ROOM_PART = 0.8;

    private final Map<String, Double> partByRegion = new HashMap<>();
    private long nextStepMillis;

    boolean isDue(long nowMillis) {
        return nowMillis >= nextStepMillis;
    }

    /** Adapts the parts to the requests for each slot in the regions. */
    void step(Map<String, Double> pressureByRegion, long nowMillis) {
        nextStepMillis = nowMillis + STEP_MILLIS;
        pressureByRegion.forEach((region, pressure) -> {
            double elsewhere = pressureByRegion.entrySet().stream()
                    .filter(other -> !other.getKey().equals(region))
                    .mapToDouble(Map.Entry::getValue)
                    .min()
                    .orElse(Double.MAX_VALUE);
            if (pressure > FULL && elsewhere < ROOM_PART * pressure) {
                change(region, STEP);
            } else if (pressure < AT_EASE || elsewhere > pressure) {
                change(region, -STEP);
            }
        });
    }

    /** Whether an object whose first region this is goes to its second. */
    boolean spills(String object, String firstRegion) {
        double part = partByRegion.getOrDefault(firstRegion, 0.0);
        return part > 0 && StableHash.unit(object, "spill") < part;
    }

    private void change(String region, double step) {
        double part = partByRegion.getOrDefault(region, 0.0) + step;
        partByRegion.put(region, Math.max(0, Math.min(MOST, part)));
    }
}
