package org.bulrushwheel.logic.fleet;

import java.util.List;
import java.util.function.Predicate;

import org.bulrushwheel.model.proto.EntryRecord;

/**
 * Selects the entry instances returned to a caller: those of its zone; if these are too few, those of its region; if
 * the region has none, all.
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
        List<EntryRecord> inZone = select(serving, entry -> entry.getZone().equals(zone));
        if (inZone.size() >= MIN_ENTRIES_IN_ZONE) {
            return inZone;
        }
        List<EntryRecord> inRegion = select(serving, entry -> entry.getRegion().equals(region));
        return inRegion.isEmpty() ? select(serving, entry -> true) : inRegion;
    }

    private static List<EntryRecord> select(List<EntryRecord> serving, Predicate<EntryRecord> wanted) {
        return serving.stream().filter(wanted).limit(MAX_ENTRIES).toList();
    }
}
