package org.bulrushwheel.logic.raft;

import java.util.Optional;

import org.bulrushwheel.model.proto.InstallSnapshot;
import org.bulrushwheel.model.proto.RaftMessage;
import org.bulrushwheel.model.proto.SnapshotChunk;
import org.bulrushwheel.model.proto.SnapshotFile;

/**
 * Sends a snapshot to one peer: in one message if its state is short, otherwise in chunks, each after the one before it has
 * been received.
 *
 * <p>Invariants: all chunks of a transfer are of one snapshot; the transfer turns to a newer one only after a time-out. It
 * holds no snapshot that the peer has installed. Not thread safe: owned by one {@link Progress}.
 */
final class SnapshotTransfer {
    /** Longest state that is sent in one message. */
    static final int MAX_CHUNK_BYTES = 512 * 1024;

    private Optional<SnapshotFile> current = Optional.empty();
    private long receivedBytes;
    private boolean awaitsResponse;
    private long sentMillis = Long.MIN_VALUE / 2;

    /**
     * Returns whether a message is to be sent now, and if so records that it is.
     *
     * @param newest latest snapshot of the leader
     * @param timeoutMillis time without a response after which a message counts as lost
     */
    boolean tryStart(SnapshotFile newest, long nowMillis, long timeoutMillis) {
        boolean timedOut = nowMillis - sentMillis >= timeoutMillis;
        if (awaitsResponse && !timedOut) {
            return false;
        }
        boolean isNewest = current.map(SnapshotFile::getLastIndex).equals(Optional.of(newest.getLastIndex()));
        if (current.isEmpty() || timedOut && !isNewest) {
            current = Optional.of(newest);
            receivedBytes = 0;
        }
        awaitsResponse = true;
        sentMillis = nowMillis;
        return true;
    }

    /** Adds the whole snapshot or its next chunk to a message, after a start. */
    RaftMessage.Builder addTo(RaftMessage.Builder message, long round) {
        SnapshotFile snapshot = current.orElseThrow();
        long stateBytes = snapshot.getState().size();
        if (stateBytes <= MAX_CHUNK_BYTES) {
            return message.setInstallSnapshot(
                    InstallSnapshot.newBuilder().setSnapshot(snapshot).setRound(round));
        }
        int end = (int) Math.min(stateBytes, receivedBytes + MAX_CHUNK_BYTES);
        return message.setSnapshotChunk(SnapshotChunk.newBuilder()
                .setSnapshot(snapshot.toBuilder().setState(snapshot.getState().substring((int) receivedBytes, end)))
                .setOffset(receivedBytes)
                .setStateBytes(stateBytes)
                .setRound(round));
    }

    /** Records how much of the snapshot the peer has received. */
    void recordReceived(long bytes) {
        awaitsResponse = false;
        receivedBytes = current.map(
                        snapshot -> Math.min(bytes, snapshot.getState().size()))
                .orElse(0L);
    }

    /** Releases the snapshot if the peer has all entries that it covers. */
    void recordMatch(long index) {
        if (current.filter(snapshot -> snapshot.getLastIndex() <= index).isPresent()) {
            current = Optional.empty();
        }
    }
}
