package org.bulrushwheel.logic.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.bulrushwheel.model.proto.LogEntry;
import org.bulrushwheel.model.proto.SnapshotFile;
import org.bulrushwheel.model.proto.Voters;

/**
 * Log entries that are not compacted yet, and the latest snapshot. Indexes are contiguous.
 *
 * <p>Not thread safe: owned by one {@link RaftNode}.
 */
final class RaftLog {
    private final List<LogEntry> entries = new ArrayList<>();
    private SnapshotFile snapshot;
    private long baseIndex;
    private long baseTerm;
    private Voters baseVoters;

    RaftLog(SnapshotFile snapshot, List<LogEntry> entries) {
        this.snapshot = snapshot;
        this.baseIndex = snapshot.getLastIndex();
        this.baseTerm = snapshot.getLastTerm();
        this.baseVoters = snapshot.getVoters();
        this.entries.addAll(entries);
    }

    SnapshotFile snapshot() {
        return snapshot;
    }

    long firstIndex() {
        return baseIndex + 1;
    }

    long lastIndex() {
        return baseIndex + entries.size();
    }

    long lastTerm() {
        return entries.isEmpty() ? baseTerm : entries.get(entries.size() - 1).getTerm();
    }

    /** Returns the term of the entry at the index, or empty if it is compacted or beyond the end of the log. */
    Optional<Long> termAt(long index) {
        if (index == baseIndex) {
            return Optional.of(baseTerm);
        }
        if (index < baseIndex || index > lastIndex()) {
            return Optional.empty();
        }
        return Optional.of(at(index).getTerm());
    }

    /** Whether the log has the entry of this term at the index, and so all entries before it, as its leader had them. */
    boolean contains(long index, long term) {
        return termAt(index).equals(Optional.of(term));
    }

    LogEntry at(long index) {
        return entries.get((int) (index - baseIndex - 1));
    }

    /** Returns entries from the index on, up to both limits, but at least one if there is any. */
    List<LogEntry> from(long index, int maxEntries, long maxBytes) {
        int start = (int) (index - baseIndex - 1);
        int limit = (int) Math.min(entries.size(), (long) start + maxEntries);
        long bytes = 0;
        int end = start;
        while (end < limit) {
            bytes += entries.get(end).getSerializedSize();
            if (end > start && bytes > maxBytes) {
                break;
            }
            end++;
        }
        return start >= end ? List.of() : List.copyOf(entries.subList(start, end));
    }

    /** Appends an entry of a leader after the last one and returns it. */
    LogEntry appendNext(LogEntry.Builder entry, long term) {
        LogEntry complete = entry.setTerm(term).setIndex(lastIndex() + 1).build();
        append(complete);
        return complete;
    }

    void append(LogEntry entry) {
        entries.add(entry);
    }

    void truncateAfter(long index) {
        entries.subList((int) (index - baseIndex), entries.size()).clear();
    }

    /** Voters and learners according to the latest change in the log, committed or not. */
    Voters voters() {
        for (int position = entries.size() - 1; position >= 0; position--) {
            if (entries.get(position).hasVoters()) {
                return entries.get(position).getVoters();
            }
        }
        return baseVoters;
    }

    /** Voters and learners according to the latest change at or before the index. */
    Voters votersAt(long index) {
        for (long position = Math.min(index, lastIndex()); position > baseIndex; position--) {
            if (at(position).hasVoters()) {
                return at(position).getVoters();
            }
        }
        return baseVoters;
    }

    /** Index of the latest voter change that is not compacted, or 0. */
    long lastVotersIndex() {
        for (long position = lastIndex(); position > baseIndex; position--) {
            if (at(position).hasVoters()) {
                return position;
            }
        }
        return 0;
    }

    /** Stores the snapshot and discards entries up to the index, which the snapshot must cover. */
    void compact(SnapshotFile newSnapshot, long dropUpTo) {
        snapshot = newSnapshot;
        if (dropUpTo <= baseIndex) {
            return;
        }
        Voters newBaseVoters = votersAt(dropUpTo);
        long newBaseTerm = termAt(dropUpTo).orElse(newSnapshot.getLastTerm());
        entries.subList(0, (int) (dropUpTo - baseIndex)).clear();
        baseIndex = dropUpTo;
        baseTerm = newBaseTerm;
        baseVoters = newBaseVoters;
    }

    /** Discards all entries and continues from the snapshot. */
    void reset(SnapshotFile newSnapshot) {
        entries.clear();
        snapshot = newSnapshot;
        baseIndex = newSnapshot.getLastIndex();
        baseTerm = newSnapshot.getLastTerm();
        baseVoters = newSnapshot.getVoters();
    }

    /** Whether a candidate's log, given by its last entry, is at least as up to date as this one. */
    boolean isCandidateUpToDate(long candidateLastTerm, long candidateLastIndex) {
        return candidateLastTerm > lastTerm() || (candidateLastTerm == lastTerm() && candidateLastIndex >= lastIndex());
    }
}
