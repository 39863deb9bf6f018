package org.bulrushwheel.server.fleet;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.proto.EntryRecord;

/**
 * Entry instances that a control instance has heard of, from themselves and from other control instances.
 *
 * <p>Invariant: an incarnation that leaves is never named again. Thread safe.
 */
public final class EntryDirectory {
    /** How long an entry instance is named after it was heard last. */
    static final long VALID_MILLIS = 2_000;

    private record Heard(EntryRecord entry, long deadlineMillis, boolean direct) {}

    private final Map<String, Heard> heardByAddress = new ConcurrentHashMap<>();
    private final TimeSource time;

    /** A directory that knows nobody yet. */
    public EntryDirectory(TimeSource time) {
        this.time = time;
    }

    /** Takes what an entry instance says of itself. */
    public void heard(EntryRecord entry, boolean direct) {
        long deadlineMillis = time.monotonicMillis() + VALID_MILLIS;
        heardByAddress.merge(entry.getPeerAddress(), new Heard(entry, deadlineMillis, direct), EntryDirectory::newer);
    }

    /** Returns the entry instances that serve. */
    public List<EntryRecord> serving() {
        long nowMillis = time.monotonicMillis();
        heardByAddress.values().removeIf(heard -> heard.deadlineMillis() + VALID_MILLIS < nowMillis);
        return heardByAddress.values().stream()
                .filter(heard ->
                        heard.deadlineMillis() > nowMillis && heard.entry().getServing())
                .map(Heard::entry)
                .sorted(Comparator.comparing(EntryRecord::getPeerAddress))
                .toList();
    }

    /** Returns what entry instances have told this control instance itself. */
    public List<EntryRecord> heardDirectly() {
        long nowMillis = time.monotonicMillis();
        return heardByAddress.values().stream()
                .filter(heard -> heard.direct() && heard.deadlineMillis() > nowMillis)
                .map(Heard::entry)
                .toList();
    }

    private static Heard newer(Heard old, Heard latest) {
        long oldIncarnation = old.entry().getIncarnation();
        long newIncarnation = latest.entry().getIncarnation();
        if (newIncarnation < oldIncarnation) {
            return old;
        }
        boolean left = newIncarnation == oldIncarnation && old.entry().getLeaving();
        return left ? old : latest;
    }
}
