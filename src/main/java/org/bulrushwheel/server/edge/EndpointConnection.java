package org.bulrushwheel.server.edge;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
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
import org.bulrushwheel.logic.response.JoinedHead;
import org.bulrushwheel.wire.http.ResponseDecoder;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One connection to an endpoint, with at most one request in flight.
 *
 * <p>Invariants: a response is delivered only when it is complete and certainly belongs to the request in flight: it names
 * its ID, which the connection has carried once, or the connection has carried no other request. A connection is reused
 * only after a response that names its request and if nothing follows it; bytes that belong to no request close the
 * connection. What is held of a response counts in {@link ResponseRoom}; a response or bytes without end close the
 * connection. Not thread safe: confined to its event loop.
 */
final class EndpointConnection extends ChannelInboundHandlerAdapter implements PausableSource, ResponseRoom.Holder {
    private static final Logger LOGGER = LoggerFactory.getLogger(EndpointConnection.class);
    // A shorter response is buffered, so that the request can be retried when the response breaks off.
    private static final int STREAMED_FROM_BYTES = 16 * 1024;
    // Bounds a response that cannot be streamed yet; several may arrive at once.
    private static final int MAX_BUFFERED_BYTES = 16 * 1024 * 1024;
    private static final int MAX_DISCARDED_BYTES = 16 * 1024 * 1024;
    // Each is logged; a request that has been answered is seldom answered again.
    private static final int MAX_DISCARDED_RESPONSES = 256;
    private static final AtomicLong CONNECTIONS = new AtomicLong();

    private final EdgeHeaders headerNames;
    private final EndpointPool pool;
    private final ResponseRoom room;
    private final long number = CONNECTIONS.incrementAndGet();
    private final ResponseDecoder decoder = new ResponseDecoder();
    private final CarriedRequests carriedRequests = new CarriedRequests();
    private @Nullable Channel channel;
    private @Nullable AttemptListener listener;
    private String requestId = "";
    private boolean reusable = true;
    private boolean countedByPool;
    private boolean discarding;
    private long discardedBytes;
    private int discardedResponses;
    private boolean answerBegun;
    private @Nullable HttpResponse head;
    private @Nullable HeldBody body;
    private boolean progressed;
    private long bytesWithoutProgress;
    private @Nullable AnswerStream stream;
    private long idleDeadlineMillis;

    EndpointConnection(EdgeHeaders headerNames, EndpointPool pool, ResponseRoom room) {
        this.headerNames = headerNames;
        this.pool = pool;
        this.room = room;
    }

    boolean isOpen() {
        return channel != null && channel.isActive() && reusable;
    }

    /** Returns a number that is unique in this process. */
    long number() {
        return number;
    }

    /** Returns how many requests were sent on this connection. */
    int carriedRequests() {
        return carriedRequests.count();
    }

    /** Whether a request with this ID was sent on this connection. */
    boolean hasCarried(String id) {
        return carriedRequests.contains(id);
    }

    ResponseDecoder decoder() {
        return decoder;
    }

    /**
     * Returns a handler that stands before the decoder. It closes the connection on bytes that arrive while no request is
     * in flight, since the decoder would keep an incomplete response and join it with the next one, and on bytes without
     * end that are neither a head nor a body, most of which the decoder skips.
     */
    ChannelInboundHandler byteGuard() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                if (listener != null || stream != null) {
                    int arrived = message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
                    progressed = false;
                    context.fireChannelRead(message);
                    onArrived(arrived);
                    return;
                }
                ReferenceCountUtil.release(message);
                if (reusable) {
                    onDropped(DropReason.NOT_ASKED, Optional.empty());
                    close();
                }
            }
        };
    }

    private void onArrived(int arrivedBytes) {
        bytesWithoutProgress = progressed ? 0 : bytesWithoutProgress + arrivedBytes;
        if (bytesWithoutProgress > ResponseDecoder.MAX_FRAMING_BYTES && (listener != null || stream != null)) {
            failDropped(DropReason.NO_RESPONSE, "bytes without end that are no response");
        }
    }

    /** Returns the monotonic time in milliseconds after which the endpoint may close this idle connection. */
    long idleDeadlineMillis() {
        return idleDeadlineMillis;
    }

    void send(CallerRequest request, HttpHeaders headers, AttemptListener attemptListener) {
        listener = attemptListener;
        answerBegun = false;
        bytesWithoutProgress = 0;
        requestId = request.header(headerNames.requestId()).orElse("");
        carriedRequests.add(requestId);
        decoder.setMethod(request.method());
        ByteBuf content = request.body().retainedDuplicate();
        DefaultFullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method(),
                request.target(),
                content,
                headers,
                io.netty.handler.codec.http.EmptyHttpHeaders.INSTANCE);
        boolean needsContentLength = content.isReadable() || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        if (needsContentLength || HttpUtil.isTransferEncodingChunked(asMessage(request))) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
        }
        Channel openChannel = java.util.Objects.requireNonNull(channel, "connection is not open yet");
        openChannel.writeAndFlush(message).addListener(written -> {
            if (!written.isSuccess()) {
                fail("write failed");
            }
        });
    }

    /** Closes the connection to cancel the request at the endpoint, without notifying the listener. */
    void abort() {
        listener = null;
        stream = null;
        // A channel that the endpoint has closed stays registered here until it is reported inactive; it takes no
        // option.
        if (channel != null && channel.isOpen()) {
            // A reset also withdraws what the network has not delivered yet; after a plain close it could still arrive.
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        close();
    }

    void close() {
        reusable = false;
        releaseBody();
        leavePool();
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        countedByPool = true;
        pool.onOpened();
        context.fireChannelActive();
    }

    private void leavePool() {
        if (countedByPool) {
            countedByPool = false;
            pool.onClosed(this);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        answerBegun = true;
        try {
            if (!(message instanceof HttpObject object)
                    || object.decoderResult().isFailure()) {
                failDropped(DropReason.MALFORMED, "malformed answer");
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
        leavePool();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            LOGGER.error("closing the connection to an endpoint after an internal error", cause);
        }
        fail("connection failed: " + cause.getMessage());
    }

    private static io.netty.handler.codec.http.HttpMessage asMessage(CallerRequest request) {
        return new io.netty.handler.codec.http.DefaultHttpRequest(
                HttpVersion.HTTP_1_1, request.method(), "/", request.headers());
    }

    private void onHead(HttpResponse response) {
        if (listener == null) {
            return;
        }
        // An informational one too: the decoder would read the body of the other as the next response.
        if (isJoined(response)) {
            onDropped(DropReason.JOINED, Optional.of(response));
            fail("a response that was cut short, joined with another");
            return;
        }
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            return;
        }
        progressed = true;
        String namedRequest = response.headers().get(headerNames.requestId());
        if (namedRequest == null && carriedRequests.count() > 1) {
            onDropped(DropReason.UNNAMED, Optional.of(response));
            fail("response without a request ID on a reused connection");
            return;
        }
        if (namedRequest != null && !namedRequest.equals(requestId)) {
            onDropped(DropReason.OTHER_REQUEST, Optional.of(response));
            discarding = true;
            if (++discardedResponses >= MAX_DISCARDED_RESPONSES) {
                fail("too many responses of other requests");
            }
        } else {
            head = response;
            body = room.newBody();
        }
        // What follows could not be told from a second response to this request, or from further ones to others.
        reusable = reusable && requestId.equals(namedRequest);
    }

    /** Whether the head consists of the heads of several responses. */
    private boolean isJoined(HttpResponse response) {
        return response.headers().getAll(headerNames.requestId()).size() > 1
                || (carriedRequests.count() > 1 && containsHead(response));
    }

    private boolean containsHead(HttpResponse response) {
        if (JoinedHead.isIn(response.status().reasonPhrase())) {
            return true;
        }
        for (Map.Entry<String, String> header : response.headers()) {
            // The caller has chosen the ID that the endpoint echoes.
            boolean isEcho = header.getKey().equalsIgnoreCase(headerNames.requestId())
                    && header.getValue().equals(requestId);
            if (JoinedHead.isIn(header.getKey()) || (!isEcho && JoinedHead.isIn(header.getValue()))) {
                return true;
            }
        }
        return false;
    }

    private void onDropped(DropReason reason, Optional<HttpResponse> response) {
        pool.onDropped(new DroppedResponse(
                reason,
                number,
                carriedRequests.count(),
                requestId,
                response.map(each -> each.status().code()),
                response.map(each -> each.headers().get(headerNames.requestId())),
                heldBytes()));
    }

    private void failDropped(DropReason reason, String message) {
        if (listener != null || stream != null) {
            onDropped(reason, Optional.ofNullable(head));
        }
        fail(message);
    }

    @Override
    public long heldBytes() {
        return body == null ? 0 : body.capacity();
    }

    @Override
    public void endForRoom() {
        failDropped(DropReason.NO_ROOM, "no memory for the rest of the answer");
    }

    private void onContent(HttpContent content) {
        pool.onReceived(content.content().readableBytes());
        progressed = progressed || content.content().isReadable();
        HttpResponse answerHead = head;
        if (answerHead != null && stream != null) {
            onStreamedContent(answerHead, stream, content);
            return;
        }
        if (discarding) {
            onDiscardedContent(content);
            return;
        }
        if (answerHead == null || body == null) {
            if (content.content().isReadable()) {
                failDropped(DropReason.MALFORMED, "bytes without an answer");
            }
            return;
        }
        boolean last = content instanceof LastHttpContent;
        if (content.content().isReadable() && !keep(answerHead, content.content(), last)) {
            return;
        }
        if (last) {
            onFullAnswer(answerHead);
        } else {
            offerStream(answerHead);
        }
    }

    /** Keeps a part of the body, or ends the request if that is not possible. */
    private boolean keep(HttpResponse answerHead, ByteBuf content, boolean last) {
        if (listener == null || !listener.needsBody(answerHead)) {
            return discard(content);
        }
        HeldBody held = java.util.Objects.requireNonNull(body);
        if (held.length() + content.readableBytes() > MAX_BUFFERED_BYTES) {
            failDropped(DropReason.TOO_LONG, "answer too long");
            return false;
        }
        int additionalBytes = held.additionalBytes(content, last);
        if (additionalBytes > 0) {
            room.makeRoom(this, additionalBytes);
        }
        if (body == null) {
            return false;
        }
        if (held.length() + content.readableBytes() <= STREAMED_FROM_BYTES) {
            held.appendBeyondLimit(content, last);
        } else if (!held.append(content, last)) {
            endForRoom();
            return false;
        }
        return true;
    }

    private void onDiscardedContent(HttpContent content) {
        if (discard(content.content())) {
            discarding = !(content instanceof LastHttpContent);
        }
    }

    private boolean discard(ByteBuf content) {
        discardedBytes += content.readableBytes();
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            failDropped(DropReason.TOO_LONG, "responses that are not passed on are too long");
            return false;
        }
        return true;
    }

    private void offerStream(HttpResponse answerHead) {
        HeldBody held = body;
        if (listener == null || held == null || held.length() < STREAMED_FROM_BYTES) {
            return;
        }
        listener.onLargeAnswer(answerHead, this).ifPresent(begun -> {
            listener = null;
            body = null;
            stream = begun;
            room.release(this);
            begun.write(held.take());
        });
    }

    private void onStreamedContent(HttpResponse answerHead, AnswerStream begun, HttpContent content) {
        if (content.content().isReadable()) {
            begun.write(content.content().retain());
        }
        if (content instanceof LastHttpContent) {
            stream = null;
            head = null;
            try {
                releaseConnection(answerHead);
            } finally {
                begun.complete();
            }
        }
    }

    private void releaseConnection(HttpResponse answerHead) {
        if (reusable && decoder.hasUndecodedBytes()) {
            onDropped(DropReason.NOT_ASKED, Optional.empty());
            close();
        } else if (reusable && !carriedRequests.isFull() && HttpUtil.isKeepAlive(answerHead)) {
            setPaused(false);
            pool.returnConnection(this, keepAliveMillis(answerHead.headers()));
        } else {
            close();
        }
    }

    @Override
    public void setPaused(boolean paused) {
        if (channel != null && channel.isOpen()) {
            channel.config().setAutoRead(!paused);
        }
    }

    private void onFullAnswer(HttpResponse answerHead) {
        head = null;
        ByteBuf fullBody = java.util.Objects.requireNonNull(body).take();
        body = null;
        room.release(this);
        AttemptListener receiver = listener;
        listener = null;
        if (receiver == null) {
            fullBody.release();
            close();
            return;
        }
        EdgeAnswer answer = new EdgeAnswer(answerHead.status(), answerHead.headers(), fullBody);
        try {
            releaseConnection(answerHead);
        } finally {
            receiver.onAnswer(answer);
        }
    }

    void setIdleDeadline(long deadlineMillis) {
        idleDeadlineMillis = deadlineMillis;
    }

    private void fail(String reason) {
        AttemptListener receiver = listener;
        AnswerStream broken = stream;
        listener = null;
        stream = null;
        close();
        if (broken != null) {
            broken.breakOff();
        }
        if (receiver != null) {
            receiver.onConnectionFailure(reason, answerBegun);
        }
    }

    private void releaseBody() {
        room.release(this);
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
        for (String parameter : value.split(",")) {
            String trimmed = parameter.strip();
            if (trimmed.startsWith("timeout=")) {
                try {
                    return Optional.of(Long.parseLong(trimmed.substring("timeout=".length())) * 1_000);
                } catch (NumberFormatException e) {
                    // Not an integer: the default idle time applies.
                    return Optional.empty();
                }
            }
        }
        return Optional.empty();
    }
}
