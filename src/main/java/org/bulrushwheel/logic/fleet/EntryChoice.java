package org.bulrushwheel.logic.fleet;

import java.util.List;

import org.bulrushwheel.model.proto.EntryRecord;

/**
 * Selects the entry instances returned to a caller: those that serve its zone; if these are too few, those of its region;
 * if the region has none, all.
 *
 * <p>Stateless and thread safe.
 */
public final class EntryChoice {
    private static final int MAX_ENTRIES = 64;
    // With a single instance, its callers would have no alternative when it fails.
    private static final int MIN_ENTRIES_IN_ZONE = 2;

    private EntryChoice() {}

    /** Returns at most 64 entry instances for a caller in this zone and region. */
    public static List<EntryRecord> forCaller(List<EntryRecord> serving, String zone, String region) {
        List<EntryRecord> inRegion = serving.stream()
                .filter(entry -> entry.getRegion().equals(region))
                .toList();
        List<EntryRecord> forZone = EntryAssignment.byZone(inRegion).getOrDefault(zone, List.of());
        if (forZone.size() >= MIN_ENTRIES_IN_ZONE) {
            return first(forZone);
        }
        return first(inRegion.isEmpty() ? serving : inRegion);
    }

    private static List<EntryRecord> first(List<EntryRecord> entries) {
        return entries.stream().limit(MAX_ENTRIES).toList();
    }
}
