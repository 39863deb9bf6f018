package org.bulrushwheel.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.LongStream;

import org.bulrushwheel.logic.raft.RaftReady;
import org.bulrushwheel.model.proto.Command;
import org.bulrushwheel.model.proto.HardState;
import org.bulrushwheel.model.proto.LogEntry;
import org.bulrushwheel.model.proto.SnapshotFile;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ReplicaStorageTest {
    @TempDir
    private Path folder;

    private Path data;

    @BeforeEach
    void format() {
        data = folder.resolve("data");
        ReplicaStorage.format(data, "r1#1", SnapshotFile.getDefaultInstance());
    }

    @Test
    void storedStateSurvivesRestart() throws IOException {
        try (ReplicaStorage storage = ReplicaStorage.open(data)) {
            storage.store(ready(7, 1, 2, 3));
        }
        try (ReplicaStorage storage = ReplicaStorage.open(data)) {
            assertEquals(7, storage.state().hardState().getTerm());
            assertEquals(List.of(1L, 2L, 3L), indexes(storage));
        }
    }

    @Test
    void truncatedEntriesAreReplacedByNewOnes() throws IOException {
        try (ReplicaStorage storage = ReplicaStorage.open(data)) {
            storage.store(ready(1, 1, 2, 3));
            storage.store(new RaftReady(
                    Optional.empty(),
                    Optional.empty(),
                    Optional.of(1L),
                    List.of(entry(2, 9)),
                    List.of(),
                    List.of(),
                    List.of()));
        }
        try (ReplicaStorage storage = ReplicaStorage.open(data)) {
            assertEquals(List.of(1L, 2L), indexes(storage));
            assertEquals(9, storage.state().entries().get(1).getTerm());
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void tornTailIsTruncatedAndSyncedEntriesRemain(long seed) throws IOException {
        try (ReplicaStorage storage = ReplicaStorage.open(data)) {
            storage.store(ready(1, 1, 2));
        }
        Path log = data.resolve("log-0");
        byte[] synced = Files.readAllBytes(log);
        try (ReplicaStorage storage = ReplicaStorage.open(data)) {
            storage.store(ready(1, 3));
        }
        byte[] whole = Files.readAllBytes(log);
        int torn = synced.length + 1 + new Random(seed).nextInt(whole.length - synced.length - 1);
        Files.write(log, Arrays.copyOf(whole, torn));
        try (ReplicaStorage storage = ReplicaStorage.open(data)) {
            assertEquals(List.of(1L, 2L), indexes(storage));
            storage.store(ready(1, 3));
        }
        try (ReplicaStorage storage = ReplicaStorage.open(data)) {
            assertEquals(List.of(1L, 2L, 3L), indexes(storage));
        }
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.0, 0.2, 0.4, 0.6, 0.9})
    void corruptionBeforeTheLastBatchFailsOpenAndNamesTheRemedy(double relativeOffset) throws IOException {
        try (ReplicaStorage storage = ReplicaStorage.open(data)) {
            LongStream.rangeClosed(1, 50).forEach(index -> storage.store(ready(1, index)));
        }
        Path log = data.resolve("log-0");
        byte[] bytes = Files.readAllBytes(log);
        bytes[(int) (bytes.length * relativeOffset)] ^= 0x40;
        Files.write(log, bytes, StandardOpenOption.TRUNCATE_EXISTING);

        StorageException exception = assertThrows(StorageException.class, () -> ReplicaStorage.open(data));
        assertTrue(exception.getMessage().contains("join anew"), exception.getMessage());
    }

    @Test
    void snapshotReplacesCoveredEntries() throws IOException {
        try (ReplicaStorage storage = ReplicaStorage.open(data)) {
            storage.store(ready(3, 1, 2, 3));
            SnapshotFile snapshot =
                    SnapshotFile.newBuilder().setLastIndex(2).setLastTerm(3).build();
            storage.saveSnapshot(snapshot, List.of(entry(3, 3)));
        }
        try (ReplicaStorage storage = ReplicaStorage.open(data)) {
            assertEquals(2, storage.state().snapshot().getLastIndex());
            assertEquals(3, storage.state().hardState().getTerm());
            assertEquals(List.of(3L), indexes(storage));
        }
    }

    @Test
    void crashBeforeSnapshotRenameKeepsTheOldLog() throws IOException {
        try (ReplicaStorage storage = ReplicaStorage.open(data)) {
            storage.store(ready(3, 1, 2, 3));
        }
        Files.write(data.resolve("log-2"), new byte[] {1, 2, 3});
        Files.write(data.resolve("snapshot.new"), new byte[] {9});
        try (ReplicaStorage storage = ReplicaStorage.open(data)) {
            assertEquals(List.of(1L, 2L, 3L), indexes(storage));
        }
    }

    @Test
    void lockedFolderCannotBeOpened() throws IOException {
        try (ReplicaStorage storage = ReplicaStorage.open(data)) {
            assertThrows(StorageException.class, () -> ReplicaStorage.open(data));
            assertEquals(List.of(), indexes(storage));
        }
    }

    private static List<Long> indexes(ReplicaStorage storage) {
        return storage.state().entries().stream().map(LogEntry::getIndex).toList();
    }

    private static RaftReady ready(long term, long... indexes) {
        List<LogEntry> entries =
                LongStream.of(indexes).mapToObj(index -> entry(index, term)).toList();
        return new RaftReady(
                Optional.of(HardState.newBuilder().setTerm(term).build()),
                Optional.empty(),
                Optional.empty(),
                entries,
                List.of(),
                List.of(),
                List.of());
    }

    private static LogEntry entry(long index, long term) {
        return LogEntry.newBuilder()
                .setIndex(index)
                .setTerm(term)
                .setCommand(Command.newBuilder().setActor("actor").setChangeId("change-" + index))
                .build();
    }
}
