package org.bulrushwheel.measure.capacity;

/**
 * A size to work out.
 *
 * <p>Immutable and thread safe.
 *
 * @param name name in the table
 * @param daemons entry instances
 * @param zones availability zones
 * @param clientBlocks client blocks
 * @param lookupsPerSecond look-ups of the whole fleet
 * @param changesPerDay accepted changes of configuration
 * @param claimsPerSecond non-idempotent requests of the whole fleet
 */
public record Fleet(
        String name,
        int daemons,
        int zones,
        int clientBlocks,
        double lookupsPerSecond,
        double changesPerDay,
        double claimsPerSecond) {
    /** Today; look-ups, changes and claims are assumed. */
    public static final Fleet TODAY = new Fleet("today", 24, 6, 100, 100, 100, 10);

    /** In two years, by the users' letter; the rate of claims is assumed. */
    public static final Fleet PLANNED = new Fleet("planned", 6_700, 128, 450_000, 6_300_000, 63_000, 100);

    /** Instances of a zone, rounded up. */
    public int instancesPerZone() {
        return (daemons + zones - 1) / zones;
    }

    /** Changes a second, on the mean. */
    public double changesPerSecond() {
        return changesPerDay / 86_400;
    }
}
