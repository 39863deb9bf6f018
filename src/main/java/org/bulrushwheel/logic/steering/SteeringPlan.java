package org.bulrushwheel.logic.steering;

import java.util.Comparator;
import java.util.List;
import java.util.function.UnaryOperator;

/**
 * Order in which an instance uses the pools of zones.
 *
 * <p>Stateless and thread safe.
 */
public final class SteeringPlan {
    private static final long SAME_REGION_AFTER_MILLIS = 3;
    private static final long OTHER_REGION_AFTER_MILLIS = 25;

    private SteeringPlan() {}

    /**
     * Returns the pools: the own zone, then the region's other zones, then other regions.
     *
     * @param ownZone zone of the instance
     * @param zones all zones
     * @param regionOf region of a zone
     */
    public static List<PoolReference> pools(String ownZone, List<String> zones, UnaryOperator<String> regionOf) {
        String ownRegion = regionOf.apply(ownZone);
        return zones.stream()
                .map(zone -> new PoolReference(zone, askAfterMillis(zone, ownZone, regionOf.apply(zone), ownRegion)))
                .sorted(Comparator.comparingLong(PoolReference::askAfterMillis).thenComparing(PoolReference::zone))
                .toList();
    }

    private static long askAfterMillis(String zone, String ownZone, String region, String ownRegion) {
        if (zone.equals(ownZone)) {
            return 0;
        }
        return region.equals(ownRegion) ? SAME_REGION_AFTER_MILLIS : OTHER_REGION_AFTER_MILLIS;
    }
}
