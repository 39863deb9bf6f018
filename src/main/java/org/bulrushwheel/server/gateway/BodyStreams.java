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
 * Moves bodies between channels with back-pressure: nothing is read that cannot be written on.
 *
 * <p>Stateless; confined to the I/O thread of the channels.
 */
final class BodyStreams {
    private BodyStreams() {}

    /** Writes a whole body and ends the channel. */
    static void write(StreamSinkChannel sink, byte[] body, Consumer<IOException> failed) {
        writeRest(sink, ByteBuffer.wrap(body), failed);
    }

    /** Passes the caller's body on to the upstream. */
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

    /** Passes the upstream's body on to the caller and ends the caller's answer behind it. */
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
                    end(sink, writeFailed);
                },
                onReadError,
                onWriteError,
                exchange.getConnection().getByteBufferPool());
    }

    private static void writeRest(StreamSinkChannel sink, ByteBuffer rest, Consumer<IOException> failed) {
        try {
            while (rest.hasRemaining()) {
                if (sink.write(rest) == 0) {
                    sink.getWriteSetter().set(channel -> {
                        sink.suspendWrites();
                        writeRest(sink, rest, failed);
                    });
                    sink.resumeWrites();
                    return;
                }
            }
        } catch (IOException e) {
            failed.accept(e);
            return;
        }
        end(sink, failed);
    }

    private static void end(StreamSinkChannel sink, Consumer<IOException> failed) {
        try {
            sink.shutdownWrites();
            if (sink.flush()) {
                return;
            }
            sink.getWriteSetter().set(channel -> {
                sink.suspendWrites();
                end(sink, failed);
            });
            sink.resumeWrites();
        } catch (IOException e) {
            failed.accept(e);
        }
    }
}
