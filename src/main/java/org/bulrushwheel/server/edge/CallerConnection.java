package org.bulrushwheel.server.edge;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One connection of a caller. Pipelined requests are processed concurrently, a limited number at once; their responses are
 * written in the order of the requests. A stopping instance reads no further request while others of the connection are pending.
 *
 * <p>Invariants: a request that must run at most once is started only after all preceding requests have been answered;
 * nothing is written after a response that closes the connection. Not thread safe: confined to its event loop.
 */
final class CallerConnection extends ChannelDuplexHandler {
    private static final Logger LOGGER = LoggerFactory.getLogger(CallerConnection.class);
    // Further pipelined requests are read, so that the end of the connection is noticed, but not started.
    private static final int MAX_STARTED_REQUESTS = 16;
    // What is behind that stays unread in the socket buffer.
    private static final int MAX_BYTES_READ_AHEAD = 64 * 1024;
    // Callers may reuse a connection until just before the idle timeout.
    private static final long REUSE_MARGIN_MILLIS = 1_000;
    // A caller sends its request this long after its connection was accepted or used, at the latest, when the request
    // is
    // already on its way.
    private static final long MAX_REQUEST_TRANSIT_MILLIS = 1_000;
    // Other instances may have room at once.
    private static final long RETRY_AFTER_NO_ROOM_MILLIS = 100;
    // Time for the caller to read its last response before the socket is closed.
    private static final long LINGER_MILLIS = 1_000;

    private final EdgeContext context;
    private final EdgeServer server;
    private final Deque<PipelinedRequest> pendingRequests = new ArrayDeque<>();
    private @Nullable ChannelHandlerContext channel;
    private @Nullable ArrivingRequest arriving;
    private boolean closing;
    // Set once the last request is known: what is behind it counts as not read, and its response closes the connection.
    private boolean inputEnded;
    private final ResponseEncoder encoder = new ResponseEncoder();
    private RequestDecoder decoder;
    private long headDeadlineMillis = Long.MAX_VALUE;
    private long bytesReadAhead;
    private long lastActiveMillis;

    CallerConnection(EdgeContext context, EdgeServer server) {
        this.context = context;
        this.server = server;
        this.decoder = new RequestDecoder(context.callerLimits().maxHeaderBytes());
        this.lastActiveMillis = context.nowMillis();
    }

    /**
     * Closes the connection if it is idle for longer than the idle timeout, or for longer than a request can be on its
     * way if the instance no longer accepts connections. A request is rejected if its headers do not arrive in time, or
     * if nothing of its body arrives for the idle timeout, or too little over the whole time.
     */
    void closeIfIdle(boolean acceptsConnections) {
        if (channel == null || closing || inputEnded) {
            return;
        }
        long idleMillis = context.nowMillis() - lastActiveMillis;
        if (context.nowMillis() > headDeadlineMillis) {
            reject(408, "the request headers did not arrive in time; send the request again");
            return;
        }
        boolean tooSlow = arriving != null && arriving.isTooSlow(context.nowMillis(), isReading());
        if (arriving != null
                && isReading()
                && (tooSlow || idleMillis > context.callerLimits().idleTimeoutMillis())) {
            reject(408, "the rest of the request body did not arrive in time; send the request again");
            return;
        }
        boolean busy = !pendingRequests.isEmpty() || arriving != null || isReadingHead();
        long maxIdleMillis = acceptsConnections
                ? context.callerLimits().idleTimeoutMillis() + REUSE_MARGIN_MILLIS
                : MAX_REQUEST_TRANSIT_MILLIS;
        if (!busy && idleMillis > maxIdleMillis) {
            closing = true;
            channel.close();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext handlerContext) {
        channel = handlerContext;
        server.onConnectionOpened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext handlerContext) {
        server.onConnectionClosed(this);
        closing = true;
        discardPartialRequest();
        pendingRequests.forEach(PipelinedRequest::abandon);
        pendingRequests.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
        context.count("edge.callers.failed");
        if (!(cause instanceof IOException)) {
            LOGGER.error("closing the connection of a caller after an internal error", cause);
        }
        handlerContext.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext handlerContext, Object message) {
        try {
            if (!closing && !inputEnded && message instanceof HttpObject object) {
                read(object);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /** Returns a handler that stands before the decoder, which does not pass on headers until they are complete. */
    ChannelInboundHandler byteObserver() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext handlerContext, Object message) {
                if (isBusy() && message instanceof ByteBuf bytes) {
                    bytesReadAhead += bytes.readableBytes();
                    updateReading();
                }
                applyHeaderLimit(handlerContext);
                handlerContext.fireChannelRead(message);
            }
        };
    }

    RequestDecoder decoder() {
        return decoder;
    }

    ResponseEncoder encoder() {
        return encoder;
    }

    private boolean isReadingHead() {
        return arriving == null && !closing && !inputEnded && decoder.hasPartialHead();
    }

    /** Replaces the decoder after the limit of headers has changed, as soon as it has nothing in progress. */
    private void applyHeaderLimit(ChannelHandlerContext handlerContext) {
        boolean inProgress = isReadingHead() || arriving != null || closing || inputEnded;
        if (!inProgress && decoder.maxHeaderBytes() != context.callerLimits().maxHeaderBytes()) {
            decoder = new RequestDecoder(context.callerLimits().maxHeaderBytes());
            handlerContext.pipeline().replace(RequestDecoder.class, null, decoder);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext handlerContext) {
        updateHeadDeadline();
        handlerContext.fireChannelReadComplete();
    }

    private void updateHeadDeadline() {
        if (!isReadingHead() || !isReading()) {
            headDeadlineMillis = Long.MAX_VALUE;
        } else if (headDeadlineMillis == Long.MAX_VALUE) {
            headDeadlineMillis = context.nowMillis() + context.callerLimits().headerTimeoutMillis();
        }
    }

    private void read(HttpObject object) {
        lastActiveMillis = context.nowMillis();
        if (object instanceof HttpRequest) {
            decoder.onHeadRead();
            headDeadlineMillis = Long.MAX_VALUE;
        }
        if (object.decoderResult().isFailure()) {
            boolean tooLong = object.decoderResult().cause() instanceof TooLongFrameException;
            reject(
                    tooLong ? 431 : 400,
                    tooLong
                            ? "the request line or headers are too long; shorten them"
                            : "malformed request; send a valid HTTP/1.1 request");
            return;
        }
        if (object instanceof HttpRequest request) {
            onHead(request);
        }
        if (!inputEnded && arriving != null && object instanceof HttpContent content) {
            onContent(content);
        }
    }

    private void onHead(HttpRequest request) {
        if (!server.acceptsConnections() && !pendingRequests.isEmpty()) {
            // Otherwise a connection that is never idle would be used until the process ends. The answer to the last
            // pending request closes it, and callers send again what is behind that.
            inputEnded = true;
            context.count("edge.unread-while-draining");
            return;
        }
        boolean hasTwoLengths = request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                && request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
        if (hasTwoLengths || request.headers().getAll(HttpHeaderNames.HOST).size() != 1) {
            reject(
                    400,
                    "ambiguous request; send exactly one Host header and either Content-Length or Transfer-Encoding");
            return;
        }
        ArrivingRequest next = new ArrivingRequest(request, context.heldRequestBytes(), context.nowMillis());
        arriving = next;
        if (next.length() > context.callerLimits().maxBodyBytes()) {
            reject(413, "the request body is too long; shorten it");
            return;
        }
        if (!next.fits()) {
            refuseForRoom(request);
            return;
        }
        if (HttpUtil.is100ContinueExpected(request) && pendingRequests.isEmpty()) {
            requireChannel()
                    .writeAndFlush(new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void onContent(HttpContent content) {
        ArrivingRequest request = java.util.Objects.requireNonNull(arriving);
        boolean last = content instanceof LastHttpContent;
        if (!request.append(content.content(), last)) {
            refuseForRoom(request.head());
            return;
        }
        if (request.length() > context.callerLimits().maxBodyBytes()) {
            reject(413, "the request body is too long; shorten it");
            return;
        }
        if (last) {
            onFullRequest(request);
        }
    }

    private void refuseForRoom(HttpRequest request) {
        context.recordNoRoom(request.headers());
        reject(EdgeAnswer.refusal(
                "this instance cannot hold the request body now; not run, send the request to another instance",
                RETRY_AFTER_NO_ROOM_MILLIS));
    }

    private void onFullRequest(ArrivingRequest request) {
        arriving = null;
        PipelinedRequest pending = new PipelinedRequest(
                request.complete(context.nowMillis() - context.arrivalDelayMillis()),
                request.head().protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0);
        pendingRequests.addLast(pending);
        startReadyRequests();
    }

    private boolean isBusy() {
        return pendingRequests.size() >= MAX_STARTED_REQUESTS;
    }

    private void updateReading() {
        if (!isBusy()) {
            bytesReadAhead = 0;
        }
        requireChannel().channel().config().setAutoRead(isReading());
        updateHeadDeadline();
    }

    private boolean isReading() {
        return bytesReadAhead < MAX_BYTES_READ_AHEAD;
    }

    private void startReadyRequests() {
        PipelinedRequest first = pendingRequests.peekFirst();
        if (!closing && first != null) {
            first.resumeSource();
        }
        long started = pendingRequests.stream()
                .filter(pending -> pending.exchange != null)
                .count();
        for (PipelinedRequest pending : List.copyOf(pendingRequests)) {
            if (closing || started >= MAX_STARTED_REQUESTS) {
                return;
            }
            boolean isFirst = pendingRequests.peekFirst() == pending;
            boolean isNew = pending.exchange == null && pending.answer == null;
            if (isNew && (isFirst || !Exchange.mustWaitForPreceding(context, pending.request))) {
                started++;
                start(pending);
            }
        }
    }

    private void start(PipelinedRequest pending) {
        Exchange exchange = new Exchange(context, pending.request, new AnswerReceiver() {
            @Override
            public void onAnswer(EdgeAnswer answer) {
                CallerConnection.this.onAnswer(pending, answer);
            }

            @Override
            public void onFailure() {
                closeAfterError();
            }

            @Override
            public Optional<AnswerStream> onLargeAnswer(
                    HttpResponseStatus status, HttpHeaders headers, PausableSource source) {
                return beginStream(pending, status, headers, source);
            }
        });
        pending.exchange = exchange;
        exchange.start();
    }

    private void onAnswer(PipelinedRequest pending, EdgeAnswer answer) {
        if (closing) {
            answer.body().release();
            return;
        }
        pending.answer = answer;
        try {
            writeReadyAnswers();
        } catch (RuntimeException | Error e) {
            LOGGER.error("closing the connection of a caller: its answer could not be written", e);
            closeAfterError();
        }
    }

    private void closeAfterError() {
        context.count("edge.callers.failed");
        // The requests behind it are abandoned when the channel has become inactive.
        closing = true;
        requireChannel().close();
    }

    private Optional<AnswerStream> beginStream(
            PipelinedRequest pending, HttpResponseStatus status, HttpHeaders headers, PausableSource source) {
        boolean hasLength = headers.contains(HttpHeaderNames.CONTENT_LENGTH);
        boolean canStream =
                !closing && !HttpMethod.HEAD.equals(pending.request.method()) && (hasLength || pending.acceptsChunks);
        if (!canStream) {
            return Optional.empty();
        }
        if (pendingRequests.peekFirst() != pending) {
            // The preceding answers end at their deadlines at the latest; until then this one stays with its endpoint.
            pending.waitingSource = source;
            source.setPaused(true);
            return Optional.empty();
        }
        HttpHeaders streamed = HopHeaders.endToEnd(headers);
        if (hasLength) {
            streamed.set(HttpHeaderNames.CONTENT_LENGTH, headers.get(HttpHeaderNames.CONTENT_LENGTH));
        } else {
            streamed.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        boolean closes = closesAfter(pending);
        if (closes) {
            inputEnded = true;
            streamed.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        lastActiveMillis = context.nowMillis();
        encoder.setMethod(pending.request.method());
        requireChannel()
                .write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, streamed))
                .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        StreamedAnswer stream = new StreamedAnswer(pending, source, closes);
        pending.stream = stream;
        return Optional.of(stream);
    }

    /** The answer at the head of the connection, while its body arrives. */
    final class StreamedAnswer implements AnswerStream {
        private final PipelinedRequest pending;
        private final PausableSource source;
        private final boolean closesConnection;

        private StreamedAnswer(PipelinedRequest pending, PausableSource source, boolean closesConnection) {
            this.pending = pending;
            this.source = source;
            this.closesConnection = closesConnection;
        }

        @Override
        public void write(ByteBuf content) {
            if (closing) {
                content.release();
                return;
            }
            lastActiveMillis = context.nowMillis();
            requireChannel()
                    .writeAndFlush(new DefaultHttpContent(content))
                    .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
            source.setPaused(!requireChannel().channel().isWritable());
        }

        @Override
        public void complete() {
            if (closing || pendingRequests.peekFirst() != pending) {
                return;
            }
            pendingRequests.pollFirst();
            // Requests may have been left unread after the head of this answer was sent.
            if (closesConnection || (inputEnded && pendingRequests.isEmpty())) {
                writeAndClose(LastHttpContent.EMPTY_LAST_CONTENT);
                return;
            }
            requireChannel().writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
            startReadyRequests();
            writeReadyAnswers();
        }

        @Override
        public void breakOff() {
            if (!closing && pendingRequests.peekFirst() == pending) {
                pendingRequests.pollFirst();
                closing = true;
                // The requests behind it are abandoned when the channel has become inactive.
                requireChannel().close();
            }
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext handlerContext) {
        PipelinedRequest first = pendingRequests.peekFirst();
        if (first != null && first.stream != null) {
            first.stream.source.setPaused(!handlerContext.channel().isWritable());
        }
        handlerContext.fireChannelWritabilityChanged();
    }

    private boolean closesAfter(PipelinedRequest pending) {
        boolean last = pendingRequests.size() <= 1 && arriving == null;
        return !pending.request.keepAlive() || (last && server.isDraining());
    }

    private void writeReadyAnswers() {
        while (!closing && !pendingRequests.isEmpty() && pendingRequests.peekFirst().answer != null) {
            PipelinedRequest first = pendingRequests.peekFirst();
            boolean closes = closesAfter(first);
            pendingRequests.pollFirst();
            write(first, java.util.Objects.requireNonNull(first.answer), closes);
            startReadyRequests();
        }
        updateReading();
    }

    private void write(PipelinedRequest pending, EdgeAnswer answer, boolean close) {
        lastActiveMillis = context.nowMillis();
        HttpHeaders headers = HopHeaders.endToEnd(answer.headers());
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, answer.status(), answer.body(), headers, EmptyHttpHeaders.INSTANCE);
        boolean isHeadRequest = HttpMethod.HEAD.equals(pending.request.method());
        encoder.setMethod(pending.request.method());
        String headLength = answer.headers().get(HttpHeaderNames.CONTENT_LENGTH);
        if (isHeadRequest && headLength != null) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, headLength);
        } else if (answer.hasBody() && !isHeadRequest) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, answer.body().readableBytes());
        }
        if (close) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            writeAndClose(response);
        } else {
            requireChannel().writeAndFlush(response).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        }
    }

    /** Answers an unreadable request after all preceding ones; the connection is closed with this answer. */
    private void reject(int status, String reason) {
        reject(EdgeAnswer.localReply(status, reason));
    }

    private void reject(EdgeAnswer answer) {
        discardPartialRequest();
        inputEnded = true;
        headDeadlineMillis = Long.MAX_VALUE;
        context.count("edge.rejected." + answer.status().code());
        pendingRequests.addLast(PipelinedRequest.unreadable(answer, context.nowMillis()));
        writeReadyAnswers();
    }

    /** Writes the last response and closes the socket after the caller had time to read it. */
    private void writeAndClose(HttpObject response) {
        closing = true;
        pendingRequests.forEach(PipelinedRequest::abandon);
        pendingRequests.clear();
        ChannelHandlerContext openChannel = requireChannel();
        openChannel.writeAndFlush(response).addListener(written -> {
            if (openChannel.channel() instanceof DuplexChannel duplex && written.isSuccess()) {
                duplex.shutdownOutput();
                context.runAfter(LINGER_MILLIS, openChannel::close);
            } else {
                openChannel.close();
            }
        });
    }

    /** Answers the requests that are still unanswered when the process stops. */
    void endWithProcess() {
        for (PipelinedRequest pending : List.copyOf(pendingRequests)) {
            if (pending.exchange != null) {
                pending.exchange.endWithProcess();
            }
        }
    }

    private void discardPartialRequest() {
        if (arriving != null) {
            arriving.release();
            arriving = null;
        }
    }

    private ChannelHandlerContext requireChannel() {
        return java.util.Objects.requireNonNull(channel, "the connection is not open yet");
    }
}
