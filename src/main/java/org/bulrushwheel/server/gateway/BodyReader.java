package org.bulrushwheel.server.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads a complete body of limited size without blocking.
 *
 * <p>Confined to the I/O thread of the channel.
 */
final class BodyReader {
    private final StreamSourceChannel source;
    private final ByteBufferPool buffers;
    private final int maxBytes;
    private final Consumer<byte[]> completed;
    private final Consumer<IOException> failed;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    private BodyReader(
            StreamSourceChannel source,
            ByteBufferPool buffers,
            int maxBytes,
            Consumer<byte[]> completed,
            Consumer<IOException> failed) {
        this.source = source;
        this.buffers = buffers;
        this.maxBytes = maxBytes;
        this.completed = completed;
        this.failed = failed;
    }

    /** Reads to the end of the body, then calls exactly one of {@code completed} and {@code failed}. */
    static void read(
            StreamSourceChannel source,
            ByteBufferPool buffers,
            int maxBytes,
            Consumer<byte[]> completed,
            Consumer<IOException> failed) {
        new BodyReader(source, buffers, maxBytes, completed, failed).readAvailable();
    }

    private void readAvailable() {
        try (PooledByteBuffer pooled = buffers.allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            for (int count = source.read(buffer.clear()); count != 0; count = source.read(buffer.clear())) {
                if (count < 0) {
                    completed.accept(body.toByteArray());
                    return;
                }
                append(buffer.flip());
            }
        } catch (IOException e) {
            failed.accept(e);
            return;
        }
        source.getReadSetter().set(channel -> {
            source.suspendReads();
            readAvailable();
        });
        source.resumeReads();
    }

    private void append(ByteBuffer buffer) throws IOException {
        if (body.size() + buffer.remaining() > maxBytes) {
            throw new BodyTooLargeException(maxBytes);
        }
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        body.write(bytes);
    }
}
