package org.bulrushwheel.logic.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.bulrushwheel.logic.hash.StableHash;
import org.bulrushwheel.model.traffic.Endpoint;

/**
 * Orders the endpoints of a service for an object by weighted rendezvous hashing, first over regions, then over the
 * endpoints of each region.
 *
 * <p>Invariant: all instances of a region compute the same order without communication; adding or removing an endpoint
 * moves only objects that go to or come from it. Immutable and thread safe.
 */
public final class AffinityRanking {
    private record Scored<T>(T value, double score) {}

    private final Map<String, Double> regionShares;
    private final Map<String, List<Endpoint>> byRegion = new TreeMap<>();

    /** Creates the ranking for callers of one region. */
    public AffinityRanking(String callerRegion, Collection<String> regions, Collection<Endpoint> endpoints) {
        this.regionShares = RegionShares.of(callerRegion, regions, endpoints);
        endpoints.forEach(endpoint -> byRegion.computeIfAbsent(endpoint.region(), region -> new ArrayList<>())
                .add(endpoint));
    }

    /** Returns the endpoints for an object in descending order of preference. */
    public List<Endpoint> order(String key) {
        List<Scored<String>> regions = new ArrayList<>();
        byRegion.keySet()
                .forEach(region ->
                        regions.add(new Scored<>(region, score(key, region, regionShares.getOrDefault(region, 0.0)))));
        regions.sort(Comparator.comparingDouble((Scored<String> scored) -> -scored.score()));
        List<Endpoint> ordered = new ArrayList<>();
        for (Scored<String> region : regions) {
            byRegion.get(region.value()).stream()
                    .map(endpoint -> new Scored<>(endpoint, score(key, endpoint.id(), endpoint.slots())))
                    .sorted(Comparator.comparingDouble((Scored<Endpoint> scored) -> -scored.score()))
                    .forEach(scored -> ordered.add(scored.value()));
        }
        return ordered;
    }

    private static double score(String key, String name, double weight) {
        return weight <= 0 ? -StableHash.unit(key, name) : -weight / Math.log(StableHash.unit(key, name));
    }
}
