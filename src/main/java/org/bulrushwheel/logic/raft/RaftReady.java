package org.bulrushwheel.logic.raft;

import java.util.List;
import java.util.Optional;

import org.bulrushwheel.model.proto.HardState;
import org.bulrushwheel.model.proto.LogEntry;
import org.bulrushwheel.model.proto.RaftMessage;
import org.bulrushwheel.model.proto.SnapshotFile;

/**
 * Work that a {@link RaftNode} asks of its driver, in this order: store what is to be stored and sync it, send the
 * messages, apply the committed entries.
 *
 * <p>Immutable and thread safe.
 *
 * @param hardState term and vote, when they changed
 * @param installed snapshot that replaces log and state
 * @param truncateAfter last index that stays, when entries after it are replaced
 * @param entries entries to append
 * @param messages to send once all of the above is synced
 * @param committed entries to apply
 * @param confirmedReads reads whose leader is confirmed; the state applied so far may answer them
 */
public record RaftReady(
        Optional<HardState> hardState,
        Optional<SnapshotFile> installed,
        Optional<Long> truncateAfter,
        List<LogEntry> entries,
        List<RaftMessage> messages,
        List<LogEntry> committed,
        List<Long> confirmedReads) {
    /** Whether there is nothing to do. */
    public boolean isEmpty() {
        return !needsStorage() && messages.isEmpty() && committed.isEmpty() && confirmedReads.isEmpty();
    }

    /** Whether anything has to be stored and synced. */
    public boolean needsStorage() {
        return hardState.isPresent() || installed.isPresent() || truncateAfter.isPresent() || !entries.isEmpty();
    }
}
