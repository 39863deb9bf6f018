package org.bulrushwheel.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

import com.google.protobuf.InvalidProtocolBufferException;
import org.bulrushwheel.model.proto.LogRecord;

/**
 * Append-only file of records, each with its length and CRC.
 *
 * <p>Invariant: a record that {@link #sync()} has covered is read back by {@link #open}. A torn tail, which only an
 * unsynced write leaves, is cut off; damage before the last record stops the open. Not thread safe: one thread writes.
 */
final class LogFile implements Closeable {
    private static final int HEADER_BYTES = 8;
    private static final int MAX_RECORD_BYTES = 256 * 1024 * 1024;

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
                Folders.sync(path.getParent());
            }
            long validBytes = file.readAll(records);
            channel.truncate(validBytes);
            channel.position(validBytes);
            return file;
        } catch (IOException e) {
            throw new StorageException("cannot open " + path + "; check the folder's permissions and space", e);
        }
    }

    /** Appends records; they last only once synced. */
    void append(List<LogRecord> records) {
        List<ByteBuffer> buffers = new ArrayList<>();
        for (LogRecord record : records) {
            buffers.add(frame(record.toByteArray()));
        }
        try {
            for (ByteBuffer buffer : buffers) {
                while (buffer.hasRemaining()) {
                    channel.write(buffer);
                }
            }
        } catch (IOException e) {
            throw new StorageException("cannot write " + path + "; free space on the disk and restart", e);
        }
    }

    /** Waits until all records are on the disk. */
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

    private long readAll(List<LogRecord> records) throws IOException {
        long size = channel.size();
        long position = 0;
        while (position < size) {
            ByteBuffer header = read(position, HEADER_BYTES);
            if (header.remaining() < HEADER_BYTES) {
                return position;
            }
            int lengthBytes = header.getInt();
            int crc = header.getInt();
            long end = position + HEADER_BYTES + lengthBytes;
            boolean plausible = lengthBytes > 0 && lengthBytes <= MAX_RECORD_BYTES;
            if (plausible && end > size) {
                return position;
            }
            ByteBuffer body = plausible ? read(position + HEADER_BYTES, lengthBytes) : ByteBuffer.allocate(0);
            if (!plausible || crcOf(body.array()) != crc) {
                return tornTail(position, plausible ? end : size, size);
            }
            records.add(parse(body.array(), position));
            position = end;
        }
        return position;
    }

    /** A record that fails its CRC is a torn write only when nothing intact can follow it. */
    private long tornTail(long position, long end, long size) throws IOException {
        boolean last = end >= size || isZeroFrom(position);
        if (last) {
            return position;
        }
        throw new StorageException("record at byte " + position + " of " + path
                + " is damaged; move the data folder away and let the replica join anew from its peers");
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
            // Until the buffer is full or the file ends.
        }
        return buffer.flip();
    }

    private LogRecord parse(byte[] body, long position) {
        try {
            return LogRecord.parseFrom(body);
        } catch (InvalidProtocolBufferException e) {
            throw new StorageException(
                    "record at byte " + position + " of " + path + " is of another release; run that release", e);
        }
    }

    private static ByteBuffer frame(byte[] body) {
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + body.length);
        return buffer.putInt(body.length).putInt(crcOf(body)).put(body).flip();
    }

    private static int crcOf(byte[] body) {
        CRC32C crc = new CRC32C();
        crc.update(body, 0, body.length);
        return (int) crc.getValue();
    }
}
