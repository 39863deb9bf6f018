package org.bulrushwheel.server;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import org.bulrushwheel.kernel.BudgetedBody;
import org.bulrushwheel.kernel.ByteBudget;
import org.bulrushwheel.model.refusal.RefusalReason;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads a complete body of limited size without blocking, within a budget of the process.
 *
 * <p>Confined to the I/O thread of the channel.
 */
public final class BodyReader {
    private final StreamSourceChannel source;
    private final ByteBufferPool buffers;
    private final BudgetedBody body;
    private final Consumer<byte[]> completed;
    private final Consumer<IOException> failed;
    private Optional<XnioExecutor.Key> timer = Optional.empty();
    private boolean ended;

    private BodyReader(
            StreamSourceChannel source,
            ByteBufferPool buffers,
            BudgetedBody body,
            Consumer<byte[]> completed,
            Consumer<IOException> failed) {
        this.source = source;
        this.buffers = buffers;
        this.body = body;
        this.completed = completed;
        this.failed = failed;
    }

    /**
     * Reads the body of a request, which is held for its exchange. Calls exactly one of {@code completed} and {@code
     * failed}; a body whose declared length is not accepted, or has no room now, is not read.
     *
     * @param maxMillis time after which a body that has not ended is given up
     */
    public static void readRequest(
            HttpServerExchange exchange,
            ByteBudget budget,
            int maxBytes,
            long maxMillis,
            Consumer<byte[]> completed,
            Consumer<IOException> failed) {
        long declaredBytes = exchange.getRequestContentLength();
        BudgetedBody body = HeldBodies.hold(exchange, budget, maxBytes, declaredBytes);
        BodyReader reader = new BodyReader(
                exchange.getRequestChannel(), exchange.getConnection().getByteBufferPool(), body, completed, failed);
        try {
            reader.checkLength(declaredBytes);
            reader.checkRoom(body.fits(declaredBytes));
        } catch (BodyRejectedException e) {
            failed.accept(e);
            return;
        }
        reader.readAvailable();
        if (!reader.ended) {
            reader.timer = Optional.of(exchange.getIoThread()
                    .executeAfter(reader::onTimer, Math.max(1, maxMillis), TimeUnit.MILLISECONDS));
        }
    }

    /** Reads to the end of a body, then calls exactly one of {@code completed} and {@code failed}. */
    public static void read(
            StreamSourceChannel source,
            ByteBufferPool buffers,
            BudgetedBody body,
            Consumer<byte[]> completed,
            Consumer<IOException> failed) {
        new BodyReader(source, buffers, body, completed, failed).readAvailable();
    }

    private void onTimer() {
        if (!ended) {
            source.suspendReads();
            end();
            body.release();
            failed.accept(new BodyRejectedException(RefusalReason.BODY_TOO_SLOW, "it has not ended in time"));
        }
    }

    private void end() {
        ended = true;
        timer.ifPresent(XnioExecutor.Key::remove);
    }

    private void readAvailable() {
        byte[] complete;
        try (PooledByteBuffer pooled = buffers.allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            int count = source.read(buffer.clear());
            while (count > 0) {
                append(buffer.flip());
                count = source.read(buffer.clear());
            }
            if (count == 0) {
                awaitMore();
                return;
            }
            complete = body.complete();
        } catch (IOException e) {
            end();
            body.release();
            failed.accept(e);
            return;
        }
        end();
        completed.accept(complete);
    }

    private void awaitMore() {
        source.getReadSetter().set(channel -> {
            source.suspendReads();
            readAvailable();
        });
        source.resumeReads();
    }

    private void append(ByteBuffer part) throws BodyRejectedException {
        checkLength(body.lengthWith(part));
        checkRoom(body.append(part));
    }

    private void checkLength(long bodyBytes) throws BodyRejectedException {
        if (body.isTooLong(bodyBytes)) {
            throw new BodyRejectedException(
                    RefusalReason.BODY_TOO_LARGE, "the body has more than " + body.maxBytes() + " bytes");
        }
    }

    private void checkRoom(boolean hasRoom) throws BodyRejectedException {
        if (!hasRoom) {
            throw new BodyRejectedException(RefusalReason.NO_ROOM, "the instance cannot hold the body now");
        }
    }
}
