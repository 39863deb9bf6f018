package org.bulrushwheel.model.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import org.jspecify.annotations.Nullable;

/**
 * Settings of a process that discovers the control instances through a few seeds.
 *
 * <p>Immutable and thread safe.
 *
 * @param instance name of the instance
 * @param zone availability zone
 * @param region region of the zone
 * @param peerAddress listener for other instances, as IP:PORT; it also identifies the instance among its peers
 * @param callerAddress listener for callers; only on entry instances
 * @param readinessAddress listener for readiness checks; only on entry instances
 * @param controlAddress listener for operators and endpoints; only on control instances
 * @param lookupAddress listener for look-ups; only on control instances
 * @param metricsAddress listener for metrics scrapers; if absent, metrics are not served
 * @param seeds control instances, as IP:PORT of any of their listeners
 * @param dataFolder data folder of a control replica; only on control instances
 * @param firstStart whether the whole deployment starts for the first time
 * @param linkMegabitsPerSecond capacity of this instance's link; if absent, it is unknown
 * @param zones all availability zones
 * @param bounds limits and timings shared by the deployment
 */
public record FleetSettings(
        String instance,
        String zone,
        String region,
        String peerAddress,
        @Nullable String callerAddress,
        @Nullable String readinessAddress,
        @Nullable String controlAddress,
        @Nullable String lookupAddress,
        @Nullable String metricsAddress,
        List<String> seeds,
        @Nullable String dataFolder,
        boolean firstStart,
        @Nullable Double linkMegabitsPerSecond,
        List<ZonePlace> zones,
        FleetBounds bounds) {
    private static final double BYTES_PER_MEGABIT = 125_000;

    /** Copies the lists. */
    public FleetSettings {
        seeds = seeds == null ? List.of() : List.copyOf(seeds);
        zones = zones == null ? List.of() : List.copyOf(zones);
    }

    /** Returns the capacity of this instance's link in bytes per second; 0 if it is unknown. */
    public double linkBytesPerSecond() {
        return Optional.ofNullable(linkMegabitsPerSecond).orElse(0.0) * BYTES_PER_MEGABIT;
    }

    /** Returns the region of each zone. */
    public Map<String, String> regionsByZone() {
        return zones.stream().collect(Collectors.toMap(ZonePlace::zone, ZonePlace::region));
    }

    /** Returns all regions in alphabetical order. */
    public List<String> regions() {
        return zones.stream().map(ZonePlace::region).distinct().sorted().toList();
    }

    /** Returns the peer addresses of the seeds; all instances use the same peer port. */
    public List<String> seedPeers() {
        String peerPort = peerAddress.substring(peerAddress.lastIndexOf(':'));
        return seeds.stream()
                .map(seed -> seed.substring(0, seed.lastIndexOf(':')) + peerPort)
                .sorted()
                .toList();
    }

    /** Returns the data folder of a control replica. */
    public Optional<Path> dataPath() {
        return Optional.ofNullable(dataFolder).filter(path -> !path.isEmpty()).map(Path::of);
    }
}
