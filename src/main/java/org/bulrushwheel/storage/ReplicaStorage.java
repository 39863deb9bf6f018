package org.bulrushwheel.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.bulrushwheel.logic.raft.RaftReady;
import org.bulrushwheel.logic.raft.StoredState;
import org.bulrushwheel.model.proto.HardState;
import org.bulrushwheel.model.proto.LogEntry;
import org.bulrushwheel.model.proto.LogRecord;
import org.bulrushwheel.model.proto.SnapshotFile;

/**
 * Data folder of one replica: its identity, its log and its latest snapshot.
 *
 * <p>Invariants: a lock file limits the folder to one process; everything that {@link #store} writes is synced when it
 * returns. Not thread safe: all calls must come from one thread.
 */
public final class ReplicaStorage implements Closeable {
    private static final String IDENTITY_FILE = "replica-id";
    private static final String SNAPSHOT_FILE = "snapshot";
    private static final String LOG_FILE_PREFIX = "log-";
    private static final String LOCK_FILE = "lock";

    private final Path folder;
    private final FileLock lock;
    private HardState hardState = HardState.getDefaultInstance();
    private SnapshotFile snapshot = SnapshotFile.getDefaultInstance();
    private final List<LogEntry> entries = new ArrayList<>();
    private LogFile log;

    private ReplicaStorage(Path folder, FileLock lock) {
        this.folder = folder;
        this.lock = lock;
    }

    /** Opens and locks a folder that was initialized by {@link #format}. */
    public static ReplicaStorage open(Path folder) {
        try {
            Files.createDirectories(folder);
            FileChannel channel =
                    FileChannel.open(folder.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            try {
                return open(folder, channel);
            } catch (IOException | RuntimeException e) {
                // Releases the lock, which would otherwise block a later attempt of this process.
                channel.close();
                throw e;
            }
        } catch (IOException | java.nio.channels.OverlappingFileLockException e) {
            throw new StorageException(
                    "cannot open " + folder + "; check the folder, and that no other process uses it", e);
        }
    }

    private static ReplicaStorage open(Path folder, FileChannel channel) throws IOException {
        FileLock lock = channel.tryLock();
        if (lock == null) {
            throw new StorageException(
                    folder + " is locked by another process; stop that process or specify another data folder");
        }
        ReplicaStorage storage = new ReplicaStorage(folder, lock);
        storage.load();
        return storage;
    }

    /** Reads the identity of the replica in the folder, or returns empty if the folder holds none. */
    public static Optional<String> identity(Path folder) {
        Path file = folder.resolve(IDENTITY_FILE);
        try {
            return Files.exists(file)
                    ? Optional.of(Files.readString(file, StandardCharsets.UTF_8).strip())
                    : Optional.empty();
        } catch (IOException e) {
            throw new StorageException("cannot read " + file + "; check the folder's permissions", e);
        }
    }

    /** Initializes an empty folder with an identity and an initial snapshot, and syncs both. */
    public static void format(Path folder, String identity, SnapshotFile initialSnapshot) {
        if (identity(folder).isPresent()) {
            throw new StorageException(folder + " already contains a replica; specify an empty folder");
        }
        try {
            Files.createDirectories(folder);
            DurableFiles.replace(folder.resolve(SNAPSHOT_FILE), withChecksum(initialSnapshot.toByteArray()));
            DurableFiles.replace(folder.resolve(IDENTITY_FILE), identity.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new StorageException("cannot write " + folder + "; check its permissions and space", e);
        }
    }

    /** Returns the stored term, vote and snapshot, and the entries loaded on open. */
    public StoredState state() {
        return new StoredState(hardState, snapshot, entries);
    }

    /** Writes and syncs the data to be stored of a ready. */
    public void store(RaftReady ready) {
        ready.installed().ifPresent(installed -> saveSnapshot(installed, List.of()));
        List<LogRecord> records = new ArrayList<>();
        ready.hardState().ifPresent(state -> {
            hardState = state;
            records.add(LogRecord.newBuilder().setHardState(state).build());
        });
        ready.truncateAfter()
                .ifPresent(index -> records.add(
                        LogRecord.newBuilder().setTruncateAfter(index).build()));
        ready.entries()
                .forEach(entry ->
                        records.add(LogRecord.newBuilder().setEntry(entry).build()));
        if (!records.isEmpty()) {
            log.append(records);
            log.sync();
        }
    }

    /**
     * Replaces the snapshot and starts a new log with the entries after it. The rename of the snapshot file is the atomic
     * switch: until then the old snapshot and log are valid, afterwards the new ones.
     */
    public void saveSnapshot(SnapshotFile newSnapshot, List<LogEntry> remaining) {
        try {
            LogFile newLog = createLog(newSnapshot.getLastIndex(), remaining);
            DurableFiles.replace(folder.resolve(SNAPSHOT_FILE), withChecksum(newSnapshot.toByteArray()));
            log.close();
            Files.deleteIfExists(logPath(snapshot.getLastIndex()));
            snapshot = newSnapshot;
            log = newLog;
        } catch (IOException e) {
            throw new StorageException("cannot write a snapshot in " + folder + "; free disk space and restart", e);
        }
    }

    /** Returns the last index that the snapshot covers. */
    public long snapshotIndex() {
        return snapshot.getLastIndex();
    }

    /** Frees the entries loaded on open; the Raft log in memory has its own copy. */
    public void releaseLoadedEntries() {
        entries.clear();
    }

    /** Returns the size of the log file in bytes. */
    public long logSizeBytes() {
        return log.sizeBytes();
    }

    @Override
    public void close() throws IOException {
        try {
            log.close();
        } finally {
            // Otherwise this process could not open the folder again.
            lock.channel().close();
        }
    }

    private LogFile createLog(long snapshotIndex, List<LogEntry> remaining) throws IOException {
        Path path = logPath(snapshotIndex);
        Files.deleteIfExists(path);
        LogFile newLog = LogFile.open(path, new ArrayList<>());
        List<LogRecord> records = new ArrayList<>();
        records.add(LogRecord.newBuilder().setHardState(hardState).build());
        remaining.forEach(
                entry -> records.add(LogRecord.newBuilder().setEntry(entry).build()));
        try {
            newLog.append(records);
            newLog.sync();
            return newLog;
        } catch (StorageException e) {
            newLog.close();
            throw e;
        }
    }

    private Path logPath(long snapshotIndex) {
        return folder.resolve(LOG_FILE_PREFIX + snapshotIndex);
    }

    private void load() throws IOException {
        Path snapshotPath = folder.resolve(SNAPSHOT_FILE);
        if (Files.exists(snapshotPath)) {
            snapshot = parseSnapshot(snapshotPath, Files.readAllBytes(snapshotPath));
        }
        List<LogRecord> records = new ArrayList<>();
        log = LogFile.open(logPath(snapshot.getLastIndex()), records);
        records.forEach(this::replay);
        checkContiguous();
    }

    private void replay(LogRecord record) {
        switch (record.getRecordCase()) {
            case HARD_STATE -> hardState = record.getHardState();
            case TRUNCATE_AFTER -> entries.removeIf(entry -> entry.getIndex() > record.getTruncateAfter());
            case ENTRY -> entries.add(record.getEntry());
            default ->
                throw new StorageException("the log in " + folder
                        + " contains a record of an incompatible release; run the release that wrote it");
        }
    }

    private void checkContiguous() {
        long expected = snapshot.getLastIndex() + 1;
        for (LogEntry entry : entries) {
            if (entry.getIndex() != expected) {
                throw new StorageException("entry " + expected + " is missing from the log in " + folder
                        + "; move the data folder away, so that the replica can join anew from its peers");
            }
            expected++;
        }
    }

    /** Returns the content preceded by its CRC. */
    private static byte[] withChecksum(byte[] content) {
        CRC32C crc = new CRC32C();
        crc.update(content, 0, content.length);
        return ByteBuffer.allocate(Integer.BYTES + content.length)
                .putInt((int) crc.getValue())
                .put(content)
                .array();
    }

    private static SnapshotFile parseSnapshot(Path path, byte[] bytes) throws InvalidProtocolBufferException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        CRC32C crc = new CRC32C();
        boolean hasCrc = bytes.length >= Integer.BYTES;
        int stored = hasCrc ? buffer.getInt() : 0;
        crc.update(buffer.duplicate());
        if (!hasCrc || (int) crc.getValue() != stored) {
            throw new StorageException(
                    path + " is corrupt; move the data folder away, so that the replica can join anew from its peers");
        }
        return SnapshotFile.parseFrom(ByteString.copyFrom(buffer));
    }
}
