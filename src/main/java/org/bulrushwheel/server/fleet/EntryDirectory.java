package org.bulrushwheel.server.fleet;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.proto.EntryRecord;

/**
 * Entry instances known to a control instance, from their own hellos and from the summaries of other control instances.
 *
 * <p>Invariant: after an incarnation has announced that it is leaving, it is not listed as serving again. Thread safe.
 */
public final class EntryDirectory {
    /** Time for which an entry instance is listed after its last update. */
    static final long VALID_MILLIS = 2_000;

    private record Registration(EntryRecord entry, long deadlineMillis, boolean direct) {}

    private final Map<String, Registration> registrationsByAddress = new ConcurrentHashMap<>();
    private final TimeSource time;

    /** Creates an empty directory. */
    public EntryDirectory(TimeSource time) {
        this.time = time;
    }

    /**
     * Updates the record of an entry instance.
     *
     * @param entry state of the entry instance
     * @param direct whether the entry instance reported to this control instance itself
     */
    public void update(EntryRecord entry, boolean direct) {
        long deadlineMillis = time.monotonicMillis() + VALID_MILLIS;
        registrationsByAddress.merge(
                entry.getPeerAddress(), new Registration(entry, deadlineMillis, direct), EntryDirectory::newer);
    }

    /** Returns the entry instances that are serving, ordered by peer address. */
    public List<EntryRecord> serving() {
        long nowMillis = time.monotonicMillis();
        registrationsByAddress
                .values()
                .removeIf(registration -> registration.deadlineMillis() + VALID_MILLIS < nowMillis);
        return registrationsByAddress.values().stream()
                .filter(registration -> registration.deadlineMillis() > nowMillis
                        && registration.entry().getServing())
                .map(Registration::entry)
                .sorted(Comparator.comparing(EntryRecord::getPeerAddress))
                .toList();
    }

    /** Returns the entry instances that currently report to this control instance directly. */
    public List<EntryRecord> reportingDirectly() {
        long nowMillis = time.monotonicMillis();
        return registrationsByAddress.values().stream()
                .filter(registration -> registration.direct() && registration.deadlineMillis() > nowMillis)
                .map(Registration::entry)
                .toList();
    }

    private static Registration newer(Registration previous, Registration latest) {
        long previousIncarnation = previous.entry().getIncarnation();
        long latestIncarnation = latest.entry().getIncarnation();
        if (latestIncarnation < previousIncarnation) {
            return previous;
        }
        boolean hasLeft =
                latestIncarnation == previousIncarnation && previous.entry().getLeaving();
        return hasLeft ? previous : latest;
    }
}
