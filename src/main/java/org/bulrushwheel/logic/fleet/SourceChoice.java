package org.bulrushwheel.logic.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.bulrushwheel.model.proto.ReplicaPlace;

/**
 * Order in which an entry instance turns to control instances: those of its zone, then of its region, then others that
 * are heard, then those that nobody has heard of late, seeds among them.
 *
 * <p>Stateless and thread safe.
 */
public final class SourceChoice {
    private SourceChoice() {}

    /** Returns the control instances, the nearest first. */
    public static List<String> order(
            String zone, String region, Collection<ReplicaPlace> replicas, Collection<String> seeds) {
        Map<String, Integer> distances = new LinkedHashMap<>();
        replicas.forEach(replica -> distances.put(replica.getPeerAddress(), distance(zone, region, replica)));
        seeds.forEach(seed -> distances.putIfAbsent(seed, unheard()));
        return distances.entrySet().stream()
                .sorted(Map.Entry.<String, Integer>comparingByValue()
                        .thenComparing(Map.Entry.comparingByKey(Comparator.naturalOrder())))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Whether an instance's zone has a control instance that is heard, and this is not in it. */
    public static boolean isNearerThere(String source, String zone, Collection<ReplicaPlace> replicas) {
        boolean atHome = replicas.stream()
                .anyMatch(replica -> replica.getPeerAddress().equals(source)
                        && replica.getZone().equals(zone));
        return !atHome
                && replicas.stream().anyMatch(replica -> replica.getZone().equals(zone));
    }

    private static int distance(String zone, String region, ReplicaPlace replica) {
        if (replica.getZone().isEmpty()) {
            return unheard();
        }
        if (replica.getZone().equals(zone)) {
            return 0;
        }
        return replica.getRegion().equals(region) ? 1 : 2;
    }

    private static int unheard() {
        return 3;
    }
}
