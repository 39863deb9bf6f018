package org.bulrushwheel.logic.raft;

import java.util.Optional;

import com.google.protobuf.ByteString;
import org.bulrushwheel.model.proto.RaftMessage;
import org.bulrushwheel.model.proto.SnapshotChunk;
import org.bulrushwheel.model.proto.SnapshotFile;

/**
 * Assembles a snapshot from its chunks.
 *
 * <p>Invariant: all chunks are of one snapshot of one leader in one term, since leaders may encode the same state
 * differently. Not thread safe: owned by one {@link RaftNode}.
 */
final class SnapshotAssembly {
    private String leader = "";
    private long term;
    private SnapshotFile header = SnapshotFile.getDefaultInstance();
    private ByteString state = ByteString.EMPTY;

    /**
     * Adds the chunk of a message if it is the next one.
     *
     * @return the snapshot, or empty while chunks are missing
     */
    Optional<SnapshotFile> add(RaftMessage message) {
        SnapshotChunk chunk = message.getSnapshotChunk();
        SnapshotFile newHeader = chunk.getSnapshot().toBuilder().clearState().build();
        boolean isSame = leader.equals(message.getFrom()) && term == message.getTerm() && header.equals(newHeader);
        if (!isSame) {
            discard();
            leader = message.getFrom();
            term = message.getTerm();
            header = newHeader;
        }
        if (chunk.getOffset() == state.size()) {
            state = state.concat(chunk.getSnapshot().getState());
        }
        if (state.size() < chunk.getStateBytes()) {
            return Optional.empty();
        }
        SnapshotFile complete = header.toBuilder().setState(state).build();
        discard();
        return Optional.of(complete);
    }

    /** Returns the bytes of the state that have been received. */
    long receivedBytes() {
        return state.size();
    }

    /** Releases the chunks of a snapshot that is no longer needed. */
    void discard() {
        leader = "";
        header = SnapshotFile.getDefaultInstance();
        state = ByteString.EMPTY;
    }
}
