package org.bulrushwheel.logic.raft;

import java.util.List;

import org.bulrushwheel.model.proto.HardState;
import org.bulrushwheel.model.proto.LogEntry;
import org.bulrushwheel.model.proto.SnapshotFile;
import org.bulrushwheel.model.proto.Voters;

/**
 * State that a replica reads from its storage on start.
 *
 * <p>Immutable and thread safe.
 *
 * @param hardState term and vote
 * @param snapshot latest snapshot; its last index is 0 if none has been taken
 * @param entries contiguous entries after the snapshot
 */
public record StoredState(HardState hardState, SnapshotFile snapshot, List<LogEntry> entries) {
    /** Copies the entries. */
    public StoredState {
        entries = List.copyOf(entries);
    }

    /** Initial state of a new deployment, with only its first voters. */
    public static StoredState bootstrap(Voters voters) {
        return new StoredState(
                HardState.getDefaultInstance(),
                SnapshotFile.newBuilder().setVoters(voters).build(),
                List.of());
    }
}
