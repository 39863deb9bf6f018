package org.bulrushwheel.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.zip.CRC32C;

import com.google.protobuf.InvalidProtocolBufferException;
import org.bulrushwheel.model.proto.LogBatch;
import org.bulrushwheel.model.proto.LogRecord;

/**
 * Append-only file of record batches. The header of a batch holds its length, a CRC of the length and a CRC of the content.
 *
 * <p>Invariant: {@link #open} returns every batch that {@link #sync()} has covered. It truncates a torn tail, which only an
 * unsynced append can leave behind, and fails on any other corruption. Not thread safe: one thread writes.
 */
final class LogFile implements Closeable {
    private static final int HEADER_BYTES = 12;
    private static final int MAX_BATCH_BYTES = 256 * 1024 * 1024;

    private final Path path;
    private final FileChannel channel;

    private LogFile(Path path, FileChannel channel) {
        this.path = path;
        this.channel = channel;
    }

    /** Opens or creates the file and adds its records to the list. */
    static LogFile open(Path path, List<LogRecord> records) {
        try {
            boolean created = Files.notExists(path);
            FileChannel channel = FileChannel.open(
                    path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
            LogFile file = new LogFile(path, channel);
            if (created) {
                channel.force(true);
                DurableFiles.sync(path.getParent());
            }
            long validBytes = file.readAll(records);
            channel.truncate(validBytes);
            channel.position(validBytes);
            return file;
        } catch (IOException e) {
            throw new StorageException("cannot open " + path + "; check the folder's permissions and space", e);
        }
    }

    /** Appends records as one atomic batch, which is durable only after {@link #sync()}. */
    void append(List<LogRecord> records) {
        ByteBuffer frame =
                frame(LogBatch.newBuilder().addAllRecords(records).build().toByteArray());
        try {
            while (frame.hasRemaining()) {
                channel.write(frame);
            }
        } catch (IOException e) {
            throw new StorageException("cannot write " + path + "; free disk space and restart", e);
        }
    }

    /** Flushes all appended records to the disk. */
    void sync() {
        try {
            channel.force(false);
        } catch (IOException e) {
            throw new StorageException("cannot sync " + path + "; replace the disk and join as a new replica", e);
        }
    }

    long sizeBytes() {
        try {
            return channel.size();
        } catch (IOException e) {
            throw new StorageException("cannot read the size of " + path + "; check the disk", e);
        }
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }

    /** Reads all valid batches and returns their total length in bytes. */
    private long readAll(List<LogRecord> records) throws IOException {
        long size = channel.size();
        long position = 0;
        while (size - position >= HEADER_BYTES) {
            ByteBuffer header = read(position, HEADER_BYTES);
            int lengthBytes = header.getInt();
            int lengthCrc = header.getInt();
            int bodyCrc = header.getInt();
            if (crcOf(lengthBytes) != lengthCrc || lengthBytes > MAX_BATCH_BYTES) {
                failUnlessTornTail(position, isZeroFrom(position));
                return position;
            }
            long end = position + HEADER_BYTES + lengthBytes;
            if (end > size) {
                return position;
            }
            byte[] body = read(position + HEADER_BYTES, lengthBytes).array();
            if (crcOf(body) != bodyCrc) {
                failUnlessTornTail(position, end == size);
                return position;
            }
            records.addAll(parse(body, position).getRecordsList());
            position = end;
        }
        return position;
    }

    private void failUnlessTornTail(long position, boolean tornTail) {
        if (!tornTail) {
            throw new StorageException("the batch at byte " + position + " of " + path
                    + " is corrupt; move the data folder away, so that the replica can join anew from its peers");
        }
    }

    private boolean isZeroFrom(long position) throws IOException {
        ByteBuffer rest = read(position, (int) Math.min(Integer.MAX_VALUE, channel.size() - position));
        while (rest.hasRemaining()) {
            if (rest.get() != 0) {
                return false;
            }
        }
        return true;
    }

    private ByteBuffer read(long position, int bytes) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(bytes);
        while (buffer.hasRemaining() && channel.read(buffer, position + buffer.position()) > 0) {
            // Reads until the buffer is full or the end of the file is reached.
        }
        return buffer.flip();
    }

    private LogBatch parse(byte[] body, long position) {
        try {
            return LogBatch.parseFrom(body);
        } catch (InvalidProtocolBufferException e) {
            throw new StorageException(
                    "the batch at byte " + position + " of " + path
                            + " was written by an incompatible release; run the release that wrote it",
                    e);
        }
    }

    private static ByteBuffer frame(byte[] body) {
        return ByteBuffer.allocate(HEADER_BYTES + body.length)
                .putInt(body.length)
                .putInt(crcOf(body.length))
                .putInt(crcOf(body))
                .put(body)
                .flip();
    }

    private static int crcOf(int value) {
        return crcOf(ByteBuffer.allocate(Integer.BYTES).putInt(value).array());
    }

    private static int crcOf(byte[] body) {
        CRC32C crc = new CRC32C();
        crc.update(body, 0, body.length);
        return (int) crc.getValue();
    }
}
