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
 * <p>Invariants: one process at a time holds the folder; everything stored by {@link #store} is synced when it
 * returns. Not thread safe: one thread uses it.
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

    /** Opens a folder that {@link #format} has prepared. */
    public static ReplicaStorage open(Path folder) {
        try {
            Files.createDirectories(folder);
            FileChannel channel =
                    FileChannel.open(folder.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            try {
                return open(folder, channel);
            } catch (IOException | RuntimeException e) {
                // Another attempt in this process could not take the lock otherwise.
                channel.close();
                throw e;
            }
        } catch (IOException | java.nio.channels.OverlappingFileLockException e) {
            throw new StorageException("cannot open " + folder + "; check the folder and that no process uses it", e);
        }
    }

    private static ReplicaStorage open(Path folder, FileChannel channel) throws IOException {
        FileLock lock = channel.tryLock();
        if (lock == null) {
            throw new StorageException(folder + " is in use; stop the other process or name another data folder");
        }
        ReplicaStorage storage = new ReplicaStorage(folder, lock);
        storage.load();
        return storage;
    }

    /** Reads the identity of the replica on this disk, or none for a disk without one. */
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

    /** Gives an empty folder its identity and the first snapshot, durably. */
    public static void format(Path folder, String identity, SnapshotFile first) {
        if (identity(folder).isPresent()) {
            throw new StorageException(folder + " already holds a replica; name an empty folder");
        }
        try {
            Files.createDirectories(folder);
            Folders.replace(folder.resolve(SNAPSHOT_FILE), checked(first.toByteArray()));
            Folders.replace(folder.resolve(IDENTITY_FILE), identity.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new StorageException("cannot write " + folder + "; check its permissions and space", e);
        }
    }

    /** Returns what the folder holds. */
    public StoredState state() {
        return new StoredState(hardState, snapshot, entries);
    }

    /** Stores and syncs what a ready asks for. */
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
     * Replaces the snapshot and starts a new log that holds the entries behind it. The rename of the snapshot decides:
     * before it the old snapshot and its log stand, after it the new ones.
     */
    public void saveSnapshot(SnapshotFile newSnapshot, List<LogEntry> remaining) {
        try {
            LogFile newLog = createLog(newSnapshot.getLastIndex(), remaining);
            Folders.replace(folder.resolve(SNAPSHOT_FILE), checked(newSnapshot.toByteArray()));
            log.close();
            Files.deleteIfExists(logPath(snapshot.getLastIndex()));
            snapshot = newSnapshot;
            log = newLog;
        } catch (IOException e) {
            throw new StorageException("cannot write a snapshot in " + folder + "; free space and restart", e);
        }
    }

    /** Returns the last index that the snapshot covers. */
    public long snapshotIndex() {
        return snapshot.getLastIndex();
    }

    /** Lets go of the entries that were read at the start; the log holds them. */
    public void releaseLoadedEntries() {
        entries.clear();
    }

    /** Size of the log file. */
    public long logSizeBytes() {
        return log.sizeBytes();
    }

    @Override
    public void close() throws IOException {
        log.close();
        lock.channel().close();
    }

    private LogFile createLog(long snapshotIndex, List<LogEntry> remaining) throws IOException {
        Path path = logPath(snapshotIndex);
        Files.deleteIfExists(path);
        LogFile newLog = LogFile.open(path, new ArrayList<>());
        List<LogRecord> records = new ArrayList<>();
        records.add(LogRecord.newBuilder().setHardState(hardState).build());
        remaining.forEach(
                entry -> records.add(LogRecord.newBuilder().setEntry(entry).build()));
        newLog.append(records);
        newLog.sync();
        return newLog;
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
                throw new StorageException(
                        "the log in " + folder + " holds a record of another release; run that release");
        }
    }

    private void checkContiguous() {
        long expected = snapshot.getLastIndex() + 1;
        for (LogEntry entry : entries) {
            if (entry.getIndex() != expected) {
                throw new StorageException("entry " + expected + " is missing from the log in " + folder
                        + "; move the data folder away and let the replica join anew from its peers");
            }
            expected++;
        }
    }

    private static byte[] checked(byte[] content) {
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
                    path + " is damaged; move the data folder away and let the replica join anew from its peers");
        }
        return SnapshotFile.parseFrom(ByteString.copyFrom(buffer));
    }
}
