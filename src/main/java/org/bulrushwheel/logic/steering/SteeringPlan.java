package org.bulrushwheel.logic.steering;

import java.util.Comparator;
import java.util.List;
import java.util.function.UnaryOperator;

/**
 * Determines the order in which an instance uses the slot pools of the zones.
 *
 * <p>Stateless and thread safe.
 */
public final class SteeringPlan {
    private static final long SAME_REGION_DELAY_MILLIS = 3;
    private static final long OTHER_REGION_DELAY_MILLIS = 25;

    private SteeringPlan() {}

    /**
     * Returns the pools in order: the instance's own zone, then other zones of its region, then other regions.
     *
     * @param ownZone zone of the instance
     * @param zones all zones
     * @param regionOf function from a zone to its region
     */
    public static List<PoolReference> pools(String ownZone, List<String> zones, UnaryOperator<String> regionOf) {
        String ownRegion = regionOf.apply(ownZone);
        return zones.stream()
                .map(zone ->
                        new PoolReference(zone, requestDelayMillis(zone, ownZone, regionOf.apply(zone), ownRegion)))
                .sorted(Comparator.comparingLong(PoolReference::requestDelayMillis)
                        .thenComparing(PoolReference::zone))
                .toList();
    }

    private static long requestDelayMillis(String zone, String ownZone, String region, String ownRegion) {
        if (zone.equals(ownZone)) {
            return 0;
        }
        return region.equals(ownRegion) ? SAME_REGION_DELAY_MILLIS : OTHER_REGION_DELAY_MILLIS;
    }
}
