package org.bulrushwheel.server.edge;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

/**
 * One connection to an endpoint, with at most one request on it.
 *
 * <p>Invariants: an answer is handed over only when it is whole and bears the id of the request; bytes that belong to no
 * request end the connection. Not thread safe: its event loop drives it.
 */
final class EndpointConnection extends ChannelInboundHandlerAdapter {
    // An answer of that size would not fit this instance's memory beside others.
    private static final int MAX_ANSWER_BYTES = 64 * 1024 * 1024;
    private static final int MAX_PARTS = 1_024;

    private final EdgeHeaders names;
    private final EndpointPool pool;
    private @Nullable Channel channel;
    private @Nullable AttemptListener listener;
    private String requestId = "";
    private boolean reusable = true;
    private boolean foreign;
    private @Nullable HttpResponse head;
    private @Nullable CompositeByteBuf body;
    private long idleDeadlineMillis;

    EndpointConnection(EdgeHeaders names, EndpointPool pool) {
        this.names = names;
        this.pool = pool;
    }

    boolean isOpen() {
        return channel != null && channel.isActive() && reusable;
    }

    /** Monotonic time after which the endpoint may close this idle connection. */
    long idleDeadlineMillis() {
        return idleDeadlineMillis;
    }

    void send(CallerRequest request, HttpHeaders headers, AttemptListener attempt) {
        listener = attempt;
        requestId = request.header(names.requestId()).orElse("");
        ByteBuf content = request.body().retainedDuplicate();
        DefaultFullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method(),
                request.target(),
                content,
                headers,
                io.netty.handler.codec.http.EmptyHttpHeaders.INSTANCE);
        boolean lengthExpected = content.isReadable() || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        if (lengthExpected || HttpUtil.isTransferEncodingChunked(asMessage(request))) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
        }
        Channel open = java.util.Objects.requireNonNull(channel, "a connection is used before it is open");
        open.writeAndFlush(message).addListener(written -> {
            if (!written.isSuccess()) {
                fail("write failed");
            }
        });
    }

    /** Ends the connection and with it the endpoint's work; the listener hears nothing. */
    void abort() {
        listener = null;
        close();
    }

    void close() {
        reusable = false;
        releaseBody();
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (message instanceof HttpObject object && object.decoderResult().isFailure()) {
                fail("malformed answer");
                return;
            }
            if (message instanceof HttpResponse response) {
                onHead(response);
            }
            if (message instanceof HttpContent content) {
                onContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail("connection closed");
        pool.closed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail("connection failed: " + cause.getMessage());
    }

    private static io.netty.handler.codec.http.HttpMessage asMessage(CallerRequest request) {
        return new io.netty.handler.codec.http.DefaultHttpRequest(
                HttpVersion.HTTP_1_1, request.method(), "/", request.headers());
    }

    private void onHead(HttpResponse response) {
        if (listener == null) {
            close();
            return;
        }
        head = response;
        String answered = response.headers().get(names.requestId());
        // An answer that comes late to an earlier request stands where the next one is expected.
        foreign = answered != null && !answered.equals(requestId);
        releaseBody();
        body = Unpooled.compositeBuffer(MAX_PARTS);
    }

    private void onContent(HttpContent content) {
        HttpResponse answerHead = head;
        CompositeByteBuf parts = body;
        if (answerHead == null || parts == null) {
            if (content.content().isReadable()) {
                fail("bytes without an answer");
            }
            return;
        }
        if (content.content().isReadable()) {
            parts.addComponent(true, content.content().retain());
        }
        if (parts.readableBytes() > MAX_ANSWER_BYTES) {
            fail("answer too long");
            return;
        }
        if (content instanceof LastHttpContent) {
            onWhole(answerHead);
        }
    }

    private void onWhole(HttpResponse answerHead) {
        boolean informational = answerHead.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        head = null;
        if (informational || foreign) {
            reusable = reusable && !foreign;
            releaseBody();
            return;
        }
        ByteBuf whole = java.util.Objects.requireNonNull(body);
        body = null;
        AttemptListener hearer = listener;
        listener = null;
        boolean keep = reusable && HttpUtil.isKeepAlive(answerHead);
        if (hearer == null) {
            whole.release();
            close();
            return;
        }
        EdgeAnswer answer = new EdgeAnswer(answerHead.status(), answerHead.headers(), whole);
        if (keep) {
            pool.idle(this, keepAliveMillis(answerHead.headers()));
        } else {
            close();
        }
        hearer.onAnswer(answer);
    }

    void idleUntil(long deadlineMillis) {
        idleDeadlineMillis = deadlineMillis;
    }

    private void fail(String reason) {
        AttemptListener hearer = listener;
        listener = null;
        close();
        if (hearer != null) {
            hearer.onBroken(reason);
        }
    }

    private void releaseBody() {
        if (body != null) {
            body.release();
            body = null;
        }
    }

    private static Optional<Long> keepAliveMillis(HttpHeaders headers) {
        String value = headers.get("Keep-Alive");
        if (value == null) {
            return Optional.empty();
        }
        for (String part : value.split(",")) {
            String trimmed = part.strip();
            if (trimmed.startsWith("timeout=")) {
                try {
                    return Optional.of(Long.parseLong(trimmed.substring("timeout=".length())) * 1_000);
                } catch (NumberFormatException e) {
                    // Fractions or nonsense: the default idle time stands.
                    return Optional.empty();
                }
            }
        }
        return Optional.empty();
    }
}
