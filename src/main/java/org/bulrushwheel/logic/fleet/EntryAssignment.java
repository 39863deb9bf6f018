package org.bulrushwheel.logic.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.bulrushwheel.logic.hash.StableHash;
import org.bulrushwheel.model.proto.EntryRecord;

/**
 * Divides the entry instances of a region among the callers of its zones: zones with many lend some to zones with few, so
 * that the callers of each zone have about as many. The callers of all zones are assumed to send the same.
 *
 * <p>Invariants: an instance serves the callers of one zone; a zone lends nothing that it needs for the mean of the region;
 * all control instances that know the same instances divide them alike. Stateless and thread safe.
 */
final class EntryAssignment {
    private EntryAssignment() {}

    /** Returns the instances for the callers of each zone that has any. */
    static Map<String, List<EntryRecord>> byZone(List<EntryRecord> inRegion) {
        Map<String, List<EntryRecord>> assigned = new TreeMap<>();
        inRegion.forEach(entry -> assigned.computeIfAbsent(entry.getZone(), zone -> new ArrayList<>())
                .add(entry));
        if (assigned.isEmpty()) {
            return assigned;
        }
        int zones = assigned.size();
        int atMost = (inRegion.size() + zones - 1) / zones;
        int atLeast = inRegion.size() / zones;
        List<EntryRecord> lent = new ArrayList<>();
        assigned.values().forEach(own -> {
            own.sort(Comparator.comparingDouble(EntryAssignment::rank));
            while (own.size() > atMost) {
                lent.add(own.remove(own.size() - 1));
            }
        });
        lent.sort(Comparator.comparingDouble(EntryAssignment::rank));
        assigned.values().forEach(own -> fill(own, atLeast, lent));
        assigned.values().forEach(own -> fill(own, atMost, lent));
        return assigned;
    }

    private static void fill(List<EntryRecord> own, int count, List<EntryRecord> lent) {
        while (own.size() < count && !lent.isEmpty()) {
            own.add(lent.remove(0));
        }
    }

    private static double rank(EntryRecord entry) {
        return StableHash.unit(entry.getPeerAddress(), entry.getZone());
    }
}
