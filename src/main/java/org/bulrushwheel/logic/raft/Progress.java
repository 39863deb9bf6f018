package org.bulrushwheel.logic.raft;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.bulrushwheel.model.proto.LogEntry;

/**
 * Replication progress of one peer, as tracked by the leader.
 *
 * <p>Invariant: entries are sent only while those that the peer has not acknowledged hold less than the window, so that a
 * peer that lags far behind is sent no more than its connection carries. Not thread safe: owned by one {@link RaftNode}.
 */
final class Progress {
    private static final long WINDOW_BYTES = 1024 * 1024;
    // A message that its connection cannot hold is lost as a whole.
    private static final long MAX_BYTES_PER_MESSAGE = WINDOW_BYTES / 2;
    private static final int MAX_ENTRIES_PER_MESSAGE = 256;

    private final Deque<SentEntries> unacknowledged = new ArrayDeque<>();
    private final SnapshotTransfer snapshotTransfer = new SnapshotTransfer();
    private long unacknowledgedBytes;
    private long matchIndex;
    private long nextIndex;
    private long lastContactMillis;
    /** Latest heartbeat round that the peer has acknowledged. */
    private long confirmedRound;

    /** Round in which the entries after the acknowledged ones were last sent again. */
    private long resentRound = -1;

    private record SentEntries(long lastIndex, long bytes) {}

    Progress(long nextIndex, long nowMillis) {
        this.nextIndex = nextIndex;
        this.lastContactMillis = nowMillis;
    }

    long matchIndex() {
        return matchIndex;
    }

    long nextIndex() {
        return nextIndex;
    }

    long confirmedRound() {
        return confirmedRound;
    }

    long lastContactMillis() {
        return lastContactMillis;
    }

    SnapshotTransfer snapshotTransfer() {
        return snapshotTransfer;
    }

    /** Whether more entries may be sent before the peer acknowledges those that are on their way. */
    boolean hasWindow() {
        return unacknowledgedBytes < WINDOW_BYTES;
    }

    /** Returns the entries of the next message, none while the window is full; the log must reach back to the next index. */
    List<LogEntry> entriesToSend(RaftLog log) {
        return hasWindow() ? log.from(nextIndex, MAX_ENTRIES_PER_MESSAGE, MAX_BYTES_PER_MESSAGE) : List.of();
    }

    void recordContact(long nowMillis, long round) {
        lastContactMillis = nowMillis;
        confirmedRound = Math.max(confirmedRound, round);
    }

    void recordMatch(long index) {
        matchIndex = Math.max(matchIndex, index);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        snapshotTransfer.recordMatch(matchIndex);
        while (!unacknowledged.isEmpty() && unacknowledged.getFirst().lastIndex() <= matchIndex) {
            unacknowledgedBytes -= unacknowledged.removeFirst().bytes();
        }
    }

    /**
     * Moves the next index back after a log mismatch, but never below the acknowledged entries. Only the first rejection of
     * the messages of a round counts: the others were sent before it arrived.
     */
    void recordRejection(long matchIndexHint, long rejectedRound, long currentRound) {
        if (rejectedRound <= resentRound) {
            return;
        }
        resentRound = currentRound;
        nextIndex = Math.max(matchIndex + 1, Math.min(nextIndex, matchIndexHint + 1));
        unacknowledged.clear();
        unacknowledgedBytes = 0;
    }

    /** Advances the next index optimistically, before the peer has acknowledged the entries. */
    void recordSent(List<LogEntry> entries) {
        if (entries.isEmpty()) {
            return;
        }
        long lastIndex = entries.get(entries.size() - 1).getIndex();
        long bytes = entries.stream().mapToLong(LogEntry::getSerializedSize).sum();
        nextIndex = Math.max(nextIndex, lastIndex + 1);
        unacknowledged.addLast(new SentEntries(lastIndex, bytes));
        unacknowledgedBytes += bytes;
    }
}
