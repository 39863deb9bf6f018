package org.bulrushwheel.server.api;

import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import org.bulrushwheel.kernel.BudgetedBody;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One connection of an interface: reads calls within the capacity of the process and writes their responses.
 *
 * <p>Invariants: calls are answered in the order in which they arrive; a call that is rejected has not been handed to the
 * handler, and ends the connection, since the rest of its body is not read. Not thread safe: confined to its event loop.
 */
final class ApiConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final Logger LOGGER = LoggerFactory.getLogger(ApiConnection.class);
    private static final int BAD_REQUEST = 400;
    private static final int MAX_UNANSWERED_CALLS = 16;
    private static final long CHECK_INTERVAL_MILLIS = 500;
    private static final long IDLE_LIMIT_MILLIS = 60_000;
    // Covers a document of some MB over a link that others use too.
    private static final long TRANSFER_LIMIT_MILLIS = 30_000;
    private static final long STOPPED_BODY_LIMIT_MILLIS = 3_000;
    private static final long DISCARD_MILLIS = 1_000;
    private static final int RETRY_AFTER_SECONDS = 1;

    private final String name;
    private final ApiHandler handler;
    private final ApiCapacity capacity;
    private final int maxBodyBytes;
    private final MetricRegistry metrics;
    private CompletionStage<Void> previousResponses = CompletableFuture.completedFuture(null);
    private @Nullable HttpRequest head;
    private @Nullable BudgetedBody body;
    private @Nullable Future<?> check;
    private int unanswered;
    private long completedReads;
    private boolean admitted;
    private boolean rejecting;
    private long bodyStartNanos;
    private long lastReadNanos;
    private long lastProgressNanos = System.nanoTime();

    ApiConnection(String name, ApiHandler handler, ApiCapacity capacity, int maxBodyBytes, MetricRegistry metrics) {
        this.name = name;
        this.handler = handler;
        this.capacity = capacity;
        this.maxBodyBytes = maxBodyBytes;
        this.metrics = metrics;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        admitted = capacity.open(context.channel());
        if (!admitted) {
            metrics.counter("api.connections.refused").inc();
            context.close();
            return;
        }
        check = context.executor()
                .scheduleWithFixedDelay(
                        () -> checkTimes(context), CHECK_INTERVAL_MILLIS, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (check != null) {
            check.cancel(false);
        }
        releaseBody();
        if (admitted) {
            capacity.closed(context.channel());
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
        if (rejecting || !admitted) {
            return;
        }
        if (part.decoderResult().isFailure()) {
            metrics.counter("api.connections.failed").inc();
            context.close();
            return;
        }
        lastReadNanos = System.nanoTime();
        if (part instanceof HttpRequest request) {
            onHead(context, request);
        }
        if (part instanceof HttpContent content && !rejecting) {
            onContent(context, content);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        completedReads++;
        context.fireChannelReadComplete();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        metrics.counter("api.connections.failed").inc();
        if (cause instanceof Error) {
            LOGGER.error("connection failed interface={}", name, cause);
        }
        context.close();
    }

    private void onHead(ChannelHandlerContext context, HttpRequest request) {
        if (unanswered >= MAX_UNANSWERED_CALLS) {
            // The caller does not read its responses; those that were written may be on their way.
            rejecting = true;
            metrics.counter("api.connections.unread").inc();
            LOGGER.warn(
                    "caller reads no responses interface={} peer={}",
                    name,
                    context.channel().remoteAddress());
            context.close();
            return;
        }
        capacity.busy(context.channel());
        head = request;
        bodyStartNanos = lastReadNanos;
        long declaredBytes = HttpUtil.getContentLength(request, 0L);
        int freeBytes = unanswered == 0 ? ApiCapacity.FREE_BYTES : 0;
        BudgetedBody next = new BudgetedBody(capacity.bodies(), maxBodyBytes, freeBytes, declaredBytes);
        body = next;
        unanswered++;
        if (next.isTooLong(declaredBytes)) {
            rejectTooLong(context);
        } else if (!next.fits(declaredBytes)) {
            rejectFull(context);
        } else if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void onContent(ChannelHandlerContext context, HttpContent content) {
        BudgetedBody current = java.util.Objects.requireNonNull(body, "content without a head");
        ByteBuffer part = content.content().nioBuffer();
        if (current.isTooLong(current.lengthWith(part))) {
            rejectTooLong(context);
        } else if (!current.append(part)) {
            rejectFull(context);
        } else if (content instanceof LastHttpContent) {
            onCall(context, java.util.Objects.requireNonNull(head, "content without a head"), current);
        }
    }

    private void onCall(ChannelHandlerContext context, HttpRequest request, BudgetedBody complete) {
        QueryStringDecoder target = new QueryStringDecoder(request.uri());
        byte[] bytes = complete.complete();
        boolean keepAlive = HttpUtil.isKeepAlive(request);
        head = null;
        body = null;
        lastProgressNanos = lastReadNanos;
        CompletionStage<HeldReply> reply = answer(new ApiCall(
                        request.method().name(),
                        target.path(),
                        target.parameters(),
                        bytes,
                        () -> isWaiting(context.channel())))
                .thenApply(this::hold);
        reply.whenComplete((ignored, error) -> context.executor().execute(complete::release));
        respond(context, reply, keepAlive);
    }

    private void respond(ChannelHandlerContext context, CompletionStage<HeldReply> reply, boolean keepAlive) {
        previousResponses = previousResponses.thenCombine(reply, (ignored, ready) -> {
            context.executor().execute(() -> write(context, ready, keepAlive));
            return null;
        });
    }

    private void rejectTooLong(ChannelHandlerContext context) {
        metrics.counter("api.calls.too-long").inc();
        reject(
                context,
                ApiReply.text(413, "the body has more than " + maxBodyBytes + " bytes; send less, nothing was done\n"));
    }

    private void rejectFull(ChannelHandlerContext context) {
        metrics.counter("api.calls.no-memory").inc();
        reject(context, ApiReply.text(503, "no memory for this body now; send it again, nothing was done\n"));
    }

    private void reject(ChannelHandlerContext context, ApiReply reply) {
        HttpRequest rejected = java.util.Objects.requireNonNull(head, "no call to reject");
        LOGGER.warn(
                "call rejected interface={} status={} method={} path={} peer={}",
                name,
                reply.status(),
                rejected.method(),
                new QueryStringDecoder(rejected.uri()).path(),
                context.channel().remoteAddress());
        rejecting = true;
        releaseBody();
        respond(context, CompletableFuture.completedFuture(new HeldReply(reply, 0, true)), false);
    }

    private void releaseBody() {
        if (body != null) {
            body.release();
            body = null;
        }
    }

    private void checkTimes(ChannelHandlerContext context) {
        long nowNanos = System.nanoTime();
        if (body != null && !rejecting) {
            if (millisSince(lastReadNanos, nowNanos) > STOPPED_BODY_LIMIT_MILLIS
                    || millisSince(bodyStartNanos, nowNanos) > TRANSFER_LIMIT_MILLIS) {
                metrics.counter("api.calls.timed-out").inc();
                reject(
                        context,
                        ApiReply.text(408, "the body did not arrive in time; send it again, nothing was done\n"));
            }
            return;
        }
        long limitMillis = unanswered > 0 ? TRANSFER_LIMIT_MILLIS : IDLE_LIMIT_MILLIS;
        if (millisSince(lastProgressNanos, nowNanos) > limitMillis) {
            metrics.counter(unanswered > 0 ? "api.connections.unread" : "api.connections.idle")
                    .inc();
            context.close();
        }
    }

    private static long millisSince(long startNanos, long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - startNanos);
    }

    private CompletionStage<Boolean> isWaiting(Channel channel) {
        CompletableFuture<Boolean> waiting = new CompletableFuture<>();
        channel.eventLoop().execute(() -> completeOnceRead(channel, waiting));
        return waiting;
    }

    /** Completes with whether the connection is open when an iteration of its event loop has found nothing to read on it. */
    private void completeOnceRead(Channel channel, CompletableFuture<Boolean> waiting) {
        long readsBefore = completedReads;
        SingleThreadEventLoop loop = (SingleThreadEventLoop) channel.eventLoop();
        // A task that is submitted during an iteration may run in it, after its select: the end of the connection may
        // have arrived since then. A task that is submitted at the end of an iteration runs after the next select.
        loop.executeAfterEventLoopIteration(() -> loop.execute(() -> {
            if (channel.isActive() && completedReads != readsBefore) {
                completeOnceRead(channel, waiting);
            } else {
                waiting.complete(channel.isActive());
            }
        }));
    }

    private CompletionStage<ApiReply> answer(ApiCall call) {
        return handle(call).whenComplete(this::countRejected).exceptionally(error -> {
            metrics.counter("api.calls.failed").inc();
            LOGGER.warn("request failed interface={} path={}", name, call.path(), error);
            return ApiReply.text(503, "failed; send it again\n");
        });
    }

    private CompletionStage<ApiReply> handle(ApiCall call) {
        try {
            return handler.handle(call);
        } catch (RuntimeException | OutOfMemoryError e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private void countRejected(@Nullable ApiReply reply, @Nullable Throwable error) {
        if (reply != null && reply.status() == BAD_REQUEST) {
            metrics.counter("api.calls.rejected").inc();
        }
    }

    /** Reserves the memory of a response until it is written, or replaces it by a small one. */
    private HeldReply hold(ApiReply reply) {
        int bytes = reply.body().length;
        if (bytes <= ApiCapacity.FREE_BYTES) {
            return new HeldReply(reply, 0, false);
        }
        if (capacity.responses().tryReserve(bytes)) {
            return new HeldReply(reply, bytes, false);
        }
        metrics.counter("api.responses.no-memory").inc();
        LOGGER.warn("no memory for a response interface={} bytes={}", name, bytes);
        return new HeldReply(ApiReply.text(503, "no memory for this response now; send the call again\n"), 0, true);
    }

    private void write(ChannelHandlerContext context, HeldReply held, boolean keepAlive) {
        ApiReply reply = held.reply();
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(reply.status()), Unpooled.wrappedBuffer(reply.body()));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, reply.contentType())
                .set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
        if (held.rejects() && reply.status() == HttpResponseStatus.SERVICE_UNAVAILABLE.code()) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_SECONDS);
        }
        HttpUtil.setKeepAlive(response, keepAlive);
        lastProgressNanos = System.nanoTime();
        context.writeAndFlush(response)
                .addListener(done -> {
                    capacity.responses().release(held.reservedBytes());
                    lastProgressNanos = System.nanoTime();
                    unanswered--;
                    if (unanswered == 0) {
                        capacity.idle(context.channel());
                    }
                })
                .addListener(done -> {
                    if (rejecting && done.isSuccess()) {
                        closeAfterReading(context);
                    } else if (!keepAlive || !done.isSuccess()) {
                        context.close();
                    }
                });
    }

    /**
     * Ends the connection, but discards what the caller still sends for a while: if it were closed with unread bytes, the
     * caller could lose the response.
     */
    private static void closeAfterReading(ChannelHandlerContext context) {
        if (context.channel() instanceof SocketChannel socket) {
            socket.shutdownOutput();
        }
        context.executor().schedule(() -> context.close(), DISCARD_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Response with the memory that is reserved for it.
     *
     * @param reply the response
     * @param reservedBytes bytes to release once it is written
     * @param rejects whether it stands for a call or a response that could not be held
     */
    private record HeldReply(ApiReply reply, long reservedBytes, boolean rejects) {}
}
