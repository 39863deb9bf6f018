package org.bulrushwheel.server.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.Channel;
import java.util.function.Consumer;

import io.undertow.client.ClientExchange;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Transfer;
import org.xnio.ChannelExceptionHandler;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Transfers bodies between channels with backpressure: reading pauses while the sink cannot accept more data.
 *
 * <p>Stateless; confined to the I/O thread of the channels.
 */
final class BodyStreams {
    private BodyStreams() {}

    /** Writes a buffered body and shuts down the channel's output. */
    static void write(StreamSinkChannel sink, byte[] body, Consumer<IOException> failed) {
        writeRemaining(sink, ByteBuffer.wrap(body), failed);
    }

    /** Streams the caller's request body to the upstream. */
    static void streamRequest(
            HttpServerExchange exchange,
            ClientExchange upstream,
            Consumer<IOException> callerFailed,
            Consumer<IOException> upstreamFailed) {
        transfer(
                exchange.getRequestChannel(),
                upstream.getRequestChannel(),
                exchange,
                () -> {},
                callerFailed,
                upstreamFailed);
    }

    /** Streams the upstream's response body to the caller and then completes the caller's response. */
    static void streamResponse(
            HttpServerExchange exchange,
            ClientExchange upstream,
            Runnable completed,
            Consumer<IOException> upstreamFailed,
            Consumer<IOException> callerFailed) {
        transfer(
                upstream.getResponseChannel(),
                exchange.getResponseChannel(),
                exchange,
                completed,
                upstreamFailed,
                callerFailed);
    }

    private static void transfer(
            StreamSourceChannel source,
            StreamSinkChannel sink,
            HttpServerExchange exchange,
            Runnable completed,
            Consumer<IOException> readFailed,
            Consumer<IOException> writeFailed) {
        ChannelExceptionHandler<Channel> onReadError = (channel, error) -> readFailed.accept(error);
        ChannelExceptionHandler<Channel> onWriteError = (channel, error) -> writeFailed.accept(error);
        Transfer.initiateTransfer(
                source,
                sink,
                channel -> {},
                channel -> {
                    completed.run();
                    shutdown(sink, writeFailed);
                },
                onReadError,
                onWriteError,
                exchange.getConnection().getByteBufferPool());
    }

    private static void writeRemaining(StreamSinkChannel sink, ByteBuffer remaining, Consumer<IOException> failed) {
        try {
            while (remaining.hasRemaining()) {
                if (sink.write(remaining) == 0) {
                    sink.getWriteSetter().set(channel -> {
                        sink.suspendWrites();
                        writeRemaining(sink, remaining, failed);
                    });
                    sink.resumeWrites();
                    return;
                }
            }
        } catch (IOException e) {
            failed.accept(e);
            return;
        }
        shutdown(sink, failed);
    }

    private static void shutdown(StreamSinkChannel sink, Consumer<IOException> failed) {
        try {
            sink.shutdownWrites();
            if (sink.flush()) {
                return;
            }
            sink.getWriteSetter().set(channel -> {
                sink.suspendWrites();
                shutdown(sink, failed);
            });
            sink.resumeWrites();
        } catch (IOException e) {
            failed.accept(e);
        }
    }
}
