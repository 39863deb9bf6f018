package org.bulrushwheel.logic.raft;

import java.util.List;
import java.util.Optional;

import org.bulrushwheel.model.proto.HardState;
import org.bulrushwheel.model.proto.LogEntry;
import org.bulrushwheel.model.proto.RaftMessage;
import org.bulrushwheel.model.proto.SnapshotFile;

/**
 * Work that a {@link RaftNode} hands to its driver, which must do it in this order: write and sync the data to be
 * stored, send the messages, apply the committed entries.
 *
 * <p>Immutable and thread safe.
 *
 * @param hardState new term and vote, if they changed
 * @param installed snapshot that replaces the log and the state
 * @param truncateAfter last index to keep, if later entries are to be removed
 * @param entries entries to append
 * @param messages messages to send after all of the above has been synced
 * @param committed entries to apply
 * @param confirmedReads ids of reads for which the leadership is confirmed; they may use the state applied so far
 */
public record RaftReady(
        Optional<HardState> hardState,
        Optional<SnapshotFile> installed,
        Optional<Long> truncateAfter,
        List<LogEntry> entries,
        List<RaftMessage> messages,
        List<LogEntry> committed,
        List<Long> confirmedReads) {
    /** Whether there is no work. */
    public boolean isEmpty() {
        return !needsStorage() && messages.isEmpty() && committed.isEmpty() && confirmedReads.isEmpty();
    }

    /** Whether anything has to be written and synced. */
    public boolean needsStorage() {
        return hardState.isPresent() || installed.isPresent() || truncateAfter.isPresent() || !entries.isEmpty();
    }
}
