package org.bulrushwheel.logic.raft;

import java.util.List;

import org.bulrushwheel.model.proto.HardState;
import org.bulrushwheel.model.proto.LogEntry;
import org.bulrushwheel.model.proto.SnapshotFile;
import org.bulrushwheel.model.proto.Voters;

/**
 * What a replica finds in its storage when it starts.
 *
 * <p>Immutable and thread safe.
 *
 * @param hardState term and vote
 * @param snapshot latest snapshot; of index 0 when there is none
 * @param entries contiguous entries behind the snapshot
 */
public record StoredState(HardState hardState, SnapshotFile snapshot, List<LogEntry> entries) {
    /** Copies the entries. */
    public StoredState {
        entries = List.copyOf(entries);
    }

    /** The state of a disk that holds nothing but the first voters. */
    public static StoredState bootstrap(Voters voters) {
        return new StoredState(
                HardState.getDefaultInstance(),
                SnapshotFile.newBuilder().setVoters(voters).build(),
                List.of());
    }
}
