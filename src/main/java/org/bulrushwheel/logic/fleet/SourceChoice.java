package org.bulrushwheel.logic.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.bulrushwheel.model.proto.ReplicaPlace;

/**
 * Order in which an entry instance contacts control instances: those of its zone, then of its region, then other live
 * ones, and last those without a recent heartbeat and seeds not listed among the replicas.
 *
 * <p>Stateless and thread safe.
 */
public final class SourceChoice {
    private SourceChoice() {}

    /** Returns the peer addresses of the control instances, the nearest first. */
    public static List<String> order(
            String zone, String region, Collection<ReplicaPlace> replicas, Collection<String> seeds) {
        Map<String, Integer> distances = new LinkedHashMap<>();
        replicas.forEach(replica -> distances.put(replica.getPeerAddress(), distance(zone, region, replica)));
        seeds.forEach(seed -> distances.putIfAbsent(seed, silentDistance()));
        return distances.entrySet().stream()
                .sorted(Map.Entry.<String, Integer>comparingByValue()
                        .thenComparing(Map.Entry.comparingByKey(Comparator.naturalOrder())))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Whether the zone has a live control instance while the current source is in another zone. */
    public static boolean isNearerThere(String source, String zone, Collection<ReplicaPlace> replicas) {
        boolean sourceInZone = replicas.stream()
                .anyMatch(replica -> replica.getPeerAddress().equals(source)
                        && replica.getZone().equals(zone));
        return !sourceInZone
                && replicas.stream().anyMatch(replica -> replica.getZone().equals(zone));
    }

    private static int distance(String zone, String region, ReplicaPlace replica) {
        if (replica.getZone().isEmpty()) {
            return silentDistance();
        }
        if (replica.getZone().equals(zone)) {
            return 0;
        }
        return replica.getRegion().equals(region) ? 1 : 2;
    }

    private static int silentDistance() {
        return 3;
    }
}
