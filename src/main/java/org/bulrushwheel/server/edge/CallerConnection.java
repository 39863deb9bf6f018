package org.bulrushwheel.server.edge;

import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
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
import org.bulrushwheel.model.traffic.CallerLimits;
import org.bulrushwheel.model.traffic.TrafficConfiguration;
import org.jspecify.annotations.Nullable;

/**
 * One connection of a caller. Requests sent ahead are worked on side by side; their answers leave in the order of the
 * requests.
 *
 * <p>Invariants: a request that may run once is started only when all before it are answered; after an answer that ends
 * the connection nothing is answered. Not thread safe: its event loop drives it.
 */
final class CallerConnection extends ChannelDuplexHandler {
    // Deeper pipelines wait in the socket.
    private static final int MAX_REQUESTS_AHEAD = 16;
    // A caller gets that long to read its last answer before the socket is closed.
    private static final long LINGER_MILLIS = 1_000;

    /** A request in the order of its connection. */
    private static final class Turn {
        private final CallerRequest request;
        private @Nullable Exchange exchange;
        private @Nullable EdgeAnswer answer;

        private Turn(CallerRequest request) {
            this.request = request;
        }
    }

    private final EdgeContext context;
    private final EdgeServer server;
    private final Deque<Turn> turns = new ArrayDeque<>();
    private @Nullable ChannelHandlerContext channel;
    private @Nullable HttpRequest head;
    private @Nullable ByteBuf body;
    private boolean ending;
    private long lastActiveMillis;

    CallerConnection(EdgeContext context, EdgeServer server) {
        this.context = context;
        this.server = server;
        this.lastActiveMillis = context.nowMillis();
    }

    /** Closes the connection if it has been idle for too long, or at once when the instance drains. */
    void closeIfIdle(boolean draining) {
        boolean busy = !turns.isEmpty() || head != null;
        if (busy || channel == null || ending) {
            return;
        }
        // Callers reuse connections until shortly before the limit.
        boolean idle = context.nowMillis() - lastActiveMillis > limits().idleTimeoutMillis() + 1_000;
        if (idle || draining) {
            ending = true;
            channel.close();
        }
    }

    boolean isBusy() {
        return !turns.isEmpty();
    }

    @Override
    public void channelActive(ChannelHandlerContext handlerContext) {
        channel = handlerContext;
        server.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext handlerContext) {
        server.closed(this);
        ending = true;
        dropBody();
        turns.forEach(this::abandon);
        turns.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
        context.count("edge.callers.failed");
        handlerContext.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext handlerContext, Object message) {
        try {
            if (!ending && message instanceof HttpObject object) {
                read(object);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(HttpObject object) {
        lastActiveMillis = context.nowMillis();
        if (object.decoderResult().isFailure()) {
            boolean tooLong = object.decoderResult().cause() instanceof TooLongFrameException;
            reject(
                    tooLong ? 431 : 400,
                    tooLong ? "the head is too long; shorten it" : "the request can't be read; send HTTP/1.1");
            return;
        }
        if (object instanceof HttpRequest request) {
            onHead(request);
        }
        if (!ending && head != null && object instanceof HttpContent content) {
            onContent(content);
        }
    }

    private void onHead(HttpRequest request) {
        boolean twoLengths = request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                && request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
        if (twoLengths || request.headers().getAll(HttpHeaderNames.HOST).size() != 1) {
            reject(400, "the request is ambiguous; send one host and one length");
            return;
        }
        head = request;
        body = Unpooled.EMPTY_BUFFER;
        if (HttpUtil.is100ContinueExpected(request) && turns.isEmpty()) {
            requireChannel()
                    .writeAndFlush(new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void onContent(HttpContent content) {
        ByteBuf part = content.content();
        if (part.isReadable()) {
            if (body == null || !body.isWritable()) {
                ByteBuf grown = Unpooled.buffer();
                body = body == null ? grown : grown.writeBytes(body);
            }
            body.writeBytes(part);
        }
        if (body != null && body.readableBytes() > limits().maxBodyBytes()) {
            reject(413, "the body is too long; shorten it");
            return;
        }
        if (content instanceof LastHttpContent) {
            onWholeRequest();
        }
    }

    private void onWholeRequest() {
        HttpRequest request = java.util.Objects.requireNonNull(head);
        ByteBuf whole = java.util.Objects.requireNonNull(body);
        head = null;
        body = null;
        Turn turn = new Turn(new CallerRequest(
                request.method(),
                request.uri(),
                request.headers(),
                whole,
                HttpUtil.isKeepAlive(request),
                context.nowMillis()));
        turns.addLast(turn);
        if (turns.size() == 1 || !Exchange.mustStandFirst(context, turn.request)) {
            start(turn);
        }
        requireChannel().channel().config().setAutoRead(turns.size() < MAX_REQUESTS_AHEAD);
    }

    private void start(Turn turn) {
        Exchange exchange = new Exchange(context, turn.request, answer -> answered(turn, answer));
        turn.exchange = exchange;
        exchange.start();
    }

    private void answered(Turn turn, EdgeAnswer answer) {
        if (ending) {
            answer.body().release();
            return;
        }
        turn.answer = answer;
        while (!ending && !turns.isEmpty() && turns.peekFirst().answer != null) {
            Turn first = turns.pollFirst();
            write(first, java.util.Objects.requireNonNull(first.answer));
            Turn next = turns.peekFirst();
            if (!ending && next != null && next.exchange == null) {
                start(next);
            }
        }
        requireChannel().channel().config().setAutoRead(true);
    }

    private void write(Turn turn, EdgeAnswer answer) {
        lastActiveMillis = context.nowMillis();
        boolean last = turns.isEmpty() && head == null;
        boolean close = !turn.request.keepAlive() || (last && server.isDraining());
        HttpHeaders headers = HopHeaders.endToEnd(answer.headers());
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, answer.status(), answer.body(), headers, EmptyHttpHeaders.INSTANCE);
        boolean toHead = HttpMethod.HEAD.equals(turn.request.method());
        String headLength = answer.headers().get(HttpHeaderNames.CONTENT_LENGTH);
        if (toHead && headLength != null) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, headLength);
        } else if (hasBody(answer.status()) && !toHead) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, answer.body().readableBytes());
        }
        if (close) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            end(response);
        } else {
            requireChannel().writeAndFlush(response);
        }
    }

    private void reject(int status, String reason) {
        dropBody();
        if (!turns.isEmpty()) {
            // Those ahead are answered first; the bad one is never read.
            ending = true;
            turns.forEach(this::abandon);
            turns.clear();
            requireChannel().close();
            return;
        }
        EdgeAnswer answer = EdgeAnswer.own(status, reason);
        HttpHeaders headers = answer.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, answer.body().readableBytes())
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        context.count("edge.rejected." + status);
        end(new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, answer.status(), answer.body(), headers, EmptyHttpHeaders.INSTANCE));
    }

    /** Sends the last answer; the socket is closed when the caller has had time to read it. */
    private void end(FullHttpResponse response) {
        ending = true;
        turns.forEach(this::abandon);
        turns.clear();
        ChannelHandlerContext open = requireChannel();
        open.writeAndFlush(response).addListener(written -> {
            if (open.channel() instanceof DuplexChannel duplex && written.isSuccess()) {
                duplex.shutdownOutput();
                context.after(LINGER_MILLIS, open::close);
            } else {
                open.close();
            }
        });
    }

    private void abandon(Turn turn) {
        if (turn.answer != null) {
            turn.answer.body().release();
        } else if (turn.exchange != null) {
            turn.exchange.cancel();
        } else {
            turn.request.body().release();
        }
    }

    private void dropBody() {
        head = null;
        if (body != null) {
            body.release();
            body = null;
        }
    }

    private CallerLimits limits() {
        return context.view().traffic().map(TrafficConfiguration::limits).orElse(CallerLimits.DEFAULT);
    }

    private static boolean hasBody(HttpResponseStatus status) {
        return status.code() >= 200 && status.code() != 204 && status.code() != 304;
    }

    private ChannelHandlerContext requireChannel() {
        return java.util.Objects.requireNonNull(channel, "the connection is not open yet");
    }
}
