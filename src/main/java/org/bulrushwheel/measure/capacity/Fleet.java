package org.bulrushwheel.measure.capacity;

/**
 * A fleet size for which the capacity table estimates the resource usage.
 *
 * <p>Immutable and thread safe.
 *
 * @param name column name in the capacity table
 * @param daemons number of entry instances
 * @param zones number of availability zones
 * @param clientBlocks number of client address blocks in the configuration
 * @param lookupsPerSecond look-ups per second across the fleet
 * @param changesPerDay accepted configuration changes per day
 * @param claimsPerSecond non-idempotent requests per second across the fleet
 */
public record Fleet(
        String name,
        int daemons,
        int zones,
        int clientBlocks,
        double lookupsPerSecond,
        double changesPerDay,
        double claimsPerSecond) {
    /** Current size; the rates of look-ups, changes and claims are assumptions. */
    public static final Fleet TODAY = new Fleet("today", 24, 6, 100, 100, 100, 10);

    /** Size expected in two years according to the users' letter; the claim rate is an assumption. */
    public static final Fleet PLANNED = new Fleet("planned", 6_700, 128, 450_000, 6_300_000, 63_000, 100);

    /** Returns the mean number of entry instances per zone, rounded up. */
    public int instancesPerZone() {
        return (daemons + zones - 1) / zones;
    }

    /** Returns the mean number of configuration changes per second. */
    public double changesPerSecond() {
        return changesPerDay / 86_400;
    }
}
