package org.bulrushwheel.client;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.ReferenceCountUtil;
import org.bulrushwheel.wire.http.ResponseDecoder;
import org.jspecify.annotations.Nullable;

/**
 * A connection that carries one call at a time.
 *
 * <p>Invariants: it is kept only after a whole response behind which nothing has arrived, and bytes that arrive while it
 * carries no call close it. Thread safe: all state is confined to its event loop.
 */
final class CallConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final ResponseDecoder decoder = new ResponseDecoder();
    private final Channel channel;
    private final int maxBodyBytes;
    private final Consumer<CallConnection> keeper;
    private @Nullable CompletableFuture<HttpAnswer> pending;
    private boolean reused;

    /**
     * Adds the connection to a channel that is not open yet.
     *
     * @param maxBodyBytes limit of a response body
     * @param keeper gets the connection each time it can carry another call
     */
    CallConnection(Channel channel, int maxBodyBytes, Consumer<CallConnection> keeper) {
        this.channel = channel;
        this.maxBodyBytes = maxBodyBytes;
        this.keeper = keeper;
        channel.pipeline()
                .addLast(idleGuard())
                .addLast(decoder)
                .addLast(new HttpRequestEncoder())
                .addLast(new HttpObjectAggregator(maxBodyBytes))
                .addLast(this);
    }

    /** Whether the other side has not closed the connection, as far as is known. */
    boolean isOpen() {
        return channel.isActive();
    }

    /**
     * Sends a request.
     *
     * @param deadlineNanos reading of {@link System#nanoTime} at which the call ends without a response
     * @return completed with the response, or with a {@link KeptConnectionClosedException} if the connection had carried a
     *     call and was closed, a {@link TimeoutException} at the deadline, or another reason why there is none
     */
    CompletableFuture<HttpAnswer> send(FullHttpRequest request, long deadlineNanos) {
        CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
        channel.eventLoop().execute(() -> {
            pending = answer;
            Future<?> timeout = channel.eventLoop()
                    .schedule(
                            () -> fail(new TimeoutException()),
                            deadlineNanos - System.nanoTime(),
                            TimeUnit.NANOSECONDS);
            answer.whenComplete((response, failure) -> timeout.cancel(false));
            decoder.setMethod(request.method());
            channel.writeAndFlush(request).addListener(written -> {
                if (!written.isSuccess()) {
                    onConnectionFailed(written.cause());
                }
            });
        });
        return answer;
    }

    void close() {
        channel.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
        if (response.decoderResult().isFailure()) {
            fail(response.decoderResult().cause());
            return;
        }
        CompletableFuture<HttpAnswer> answer = pending;
        if (answer == null) {
            close();
            return;
        }
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            return;
        }
        pending = null;
        if (HttpUtil.isKeepAlive(response) && !decoder.hasUndecodedBytes()) {
            reused = true;
            keeper.accept(this);
        } else {
            close();
        }
        answer.complete(new HttpAnswer(
                response.status().code(), valuesByName(response.headers()), ByteBufUtil.getBytes(response.content())));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        onConnectionFailed(new IOException("the connection was closed before the response was complete"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            fail(new IOException(
                    "the response has more than " + maxBodyBytes
                            + " bytes; check that this is the address of an instance",
                    cause));
        } else {
            onConnectionFailed(cause);
        }
    }

    /** Returns a handler in front of the decoder, which would join a stray part of a response with the next response. */
    private ChannelInboundHandler idleGuard() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                if (pending == null) {
                    ReferenceCountUtil.release(message);
                    close();
                } else {
                    context.fireChannelRead(message);
                }
            }
        };
    }

    private void onConnectionFailed(Throwable cause) {
        fail(reused && cause instanceof IOException ? new KeptConnectionClosedException(cause) : cause);
    }

    private void fail(Throwable cause) {
        CompletableFuture<HttpAnswer> answer = pending;
        pending = null;
        close();
        if (answer != null) {
            answer.completeExceptionally(cause);
        }
    }

    private static Map<String, List<String>> valuesByName(HttpHeaders headers) {
        Map<String, List<String>> values = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        headers.forEach(header -> values.computeIfAbsent(header.getKey(), name -> new ArrayList<>())
                .add(header.getValue()));
        return values;
    }
}
