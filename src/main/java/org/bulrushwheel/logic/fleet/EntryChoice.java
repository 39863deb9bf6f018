package org.bulrushwheel.logic.fleet;

import java.util.List;
import java.util.function.Predicate;

import org.bulrushwheel.model.proto.EntryRecord;

/**
 * Chooses the entry instances that a caller is told of: those of its zone; where they are too few, those of its region;
 * where there are none, all.
 *
 * <p>Stateless and thread safe.
 */
public final class EntryChoice {
    private static final int MOST_NAMED = 64;
    // One instance alone would leave its callers without another to turn to.
    private static final int LEAST_NAMED = 2;

    private EntryChoice() {}

    /** Returns the entry instances to name. */
    public static List<EntryRecord> forCaller(List<EntryRecord> serving, String zone, String region) {
        List<EntryRecord> inZone = select(serving, entry -> entry.getZone().equals(zone));
        if (inZone.size() >= LEAST_NAMED) {
            return inZone;
        }
        List<EntryRecord> inRegion = select(serving, entry -> entry.getRegion().equals(region));
        return inRegion.isEmpty() ? select(serving, entry -> true) : inRegion;
    }

    private static List<EntryRecord> select(List<EntryRecord> serving, Predicate<EntryRecord> wanted) {
        return serving.stream().filter(wanted).limit(MOST_NAMED).toList();
    }
}
