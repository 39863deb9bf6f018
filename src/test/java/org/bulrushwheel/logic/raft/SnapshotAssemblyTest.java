package org.bulrushwheel.logic.raft;

import java.util.List;
import java.util.Optional;

import com.google.protobuf.ByteString;
import org.bulrushwheel.model.proto.RaftMessage;
import org.bulrushwheel.model.proto.SnapshotChunk;
import org.bulrushwheel.model.proto.SnapshotFile;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

class SnapshotAssemblyTest {
    private static final String STATE = "abcdef";

    /**
     * Guards against a state that is mixed of two snapshots. A chunk is written as leader, term, last index, offset and
     * bytes; the last chunk completes the snapshot or not.
     */
    @ParameterizedTest
    @CsvSource({
        "l1/1/9/0/abc l1/1/9/3/def, true",
        "l1/1/9/0/abc l1/1/9/0/abc l1/1/9/3/def, true",
        "l1/1/9/0/ab l1/1/9/2/cd l1/1/9/2/cd l1/1/9/4/ef, true",
        "l1/1/9/0/abcdef, true",
        "l1/1/9/3/def, false",
        "l1/1/9/0/abc l1/1/9/4/ef, false",
        "l1/1/9/0/abc l2/1/9/3/def, false",
        "l1/1/9/0/abc l1/2/9/3/def, false",
        "l1/1/8/0/abc l1/1/9/3/def, false",
        "l1/1/8/0/xyz l1/1/9/0/abc l1/1/9/3/def, true",
        "l1/1/9/0/abcdef l1/1/9/3/def, false",
    })
    void snapshotIsOfOneLeaderAndTerm(String chunks, boolean isComplete) {
        SnapshotAssembly assembly = new SnapshotAssembly();
        Optional<SnapshotFile> last = Optional.empty();
        for (String chunk : List.of(chunks.split(" "))) {
            last = assembly.add(message(chunk.split("/")));
        }
        assertEquals(
                isComplete ? Optional.of(ByteString.copyFromUtf8(STATE)) : Optional.empty(),
                last.map(SnapshotFile::getState));
    }

    private static RaftMessage message(String[] fields) {
        return RaftMessage.newBuilder()
                .setFrom(fields[0])
                .setTerm(Long.parseLong(fields[1]))
                .setSnapshotChunk(SnapshotChunk.newBuilder()
                        .setSnapshot(SnapshotFile.newBuilder()
                                .setLastIndex(Long.parseLong(fields[2]))
                                .setState(ByteString.copyFromUtf8(fields[4])))
                        .setOffset(Long.parseLong(fields[3]))
                        .setStateBytes(STATE.length()))
                .build();
    }
}
