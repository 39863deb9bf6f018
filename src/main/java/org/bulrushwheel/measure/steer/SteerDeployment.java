package org.bulrushwheel.measure.steer;

import java.util.List;

/**
 * Sizes of a deployment.
 *
 * <p>Immutable and thread safe.
 *
 * @param name name
 * @param regions names of the regions
 * @param zonesPerRegion zones in each region
 * @param entriesPerZone entry instances in each zone
 * @param endpoints endpoints of the service
 * @param slots slots of each endpoint
 * @param localDelayMicros one-way delay inside a zone
 * @param zoneDelayMicros one-way delay between zones of a region
 * @param regionDelayMicros one-way delay between regions
 * @param linkBytesPerSecond capacity between two regions, each way
 */
public record SteerDeployment(
        String name,
        List<String> regions,
        int zonesPerRegion,
        int entriesPerZone,
        int endpoints,
        int slots,
        long localDelayMicros,
        long zoneDelayMicros,
        long regionDelayMicros,
        long linkBytesPerSecond) {
    /** Finds a deployment by name. */
    public static SteerDeployment named(String name) {
        return switch (name) {
            case "adwenpa" ->
                new SteerDeployment(
                        name, List.of("accra", "kumasi", "tamale"), 2, 4, 20, 4, 100, 500, 20_000, 500_000_000L);
            case "foerderbruecke" ->
                new SteerDeployment(
                        name, List.of("zurich", "geneva", "lugano"), 2, 4, 25, 3, 100, 1_000, 12_000, 37_500_000L);
            default ->
                throw new IllegalArgumentException(
                        "deployment '" + name + "' is unknown; use adwenpa or foerderbruecke");
        };
    }

    /** Names of the zones. */
    public List<String> zones() {
        return regions.stream()
                .flatMap(region -> java.util.stream.IntStream.range(0, zonesPerRegion)
                        .mapToObj(index -> region + "-" + (char) ('a' + index)))
                .toList();
    }

    /** Region of a zone. */
    public static String regionOf(String zone) {
        return zone.substring(0, zone.lastIndexOf('-'));
    }

    /** One-way delay between two zones. */
    public long delayMicros(String from, String to) {
        if (from.equals(to)) {
            return localDelayMicros;
        }
        return regionOf(from).equals(regionOf(to)) ? zoneDelayMicros : regionDelayMicros;
    }

    /** Slots of all endpoints. */
    public int capacity() {
        return endpoints * slots;
    }
}
