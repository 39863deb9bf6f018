package org.bulrushwheel.server.api;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import org.bulrushwheel.kernel.KernelService;
import org.bulrushwheel.model.instance.Address;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * HTTP server for one interface of an instance.
 *
 * <p>Invariant: the requests of a connection are answered in the order in which they arrive. Thread safe.
 */
public final class ApiServer implements KernelService {
    private static final Logger LOGGER = LoggerFactory.getLogger(ApiServer.class);
    // Limit for documents sent by operators.
    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
    private static final int BACKLOG = 512;
    private static final int BAD_REQUEST = 400;

    private final String name;
    private final Address listen;
    private final EventLoopGroup loops;
    private final ApiHandler handler;
    private final MetricRegistry metrics;
    private @Nullable Channel listener;

    /**
     * Creates a server that is not listening yet.
     *
     * @param name name of the service in the kernel, unique per interface
     */
    public ApiServer(String name, Address listen, EventLoopGroup loops, ApiHandler handler, MetricRegistry metrics) {
        this.name = name;
        this.listen = listen;
        this.loops = loops;
        this.handler = handler;
        this.metrics = metrics;
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public void start() {
        listener = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                                .addLast(new Connection());
                    }
                })
                .bind(listen.toSocketAddress())
                .syncUninterruptibly()
                .channel();
    }

    @Override
    public void stop() {
        if (listener != null) {
            listener.close();
        }
    }

    /** Request handler of one connection; used only on its event loop. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private CompletionStage<Void> previousResponses = CompletableFuture.completedFuture(null);

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (request.decoderResult().isFailure()) {
                context.close();
                return;
            }
            QueryStringDecoder target = new QueryStringDecoder(request.uri());
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            CompletionStage<ApiReply> reply = answer(new ApiCall(
                    request.method().name(),
                    target.path(),
                    target.parameters(),
                    ByteBufUtil.getBytes(request.content()),
                    () -> isWaiting(context.channel())));
            previousResponses = previousResponses.thenCombine(reply, (ignored, ready) -> {
                write(context, ready, keepAlive);
                return null;
            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            metrics.counter("api.connections.failed").inc();
            context.close();
        }

        private CompletionStage<Boolean> isWaiting(Channel channel) {
            CompletableFuture<Boolean> waiting = new CompletableFuture<>();
            // Event loops run tasks after they have read what has arrived, including the end of a connection.
            channel.eventLoop().execute(() -> waiting.complete(channel.isActive()));
            return waiting;
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
            } catch (RuntimeException e) {
                return CompletableFuture.failedFuture(e);
            }
        }

        private void countRejected(@Nullable ApiReply reply, @Nullable Throwable error) {
            if (reply != null && reply.status() == BAD_REQUEST) {
                metrics.counter("api.calls.rejected").inc();
            }
        }

        private void write(ChannelHandlerContext context, ApiReply reply, boolean keepAlive) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(reply.status()),
                    Unpooled.wrappedBuffer(reply.body()));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, reply.contentType())
                    .set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
            HttpUtil.setKeepAlive(response, keepAlive);
            context.writeAndFlush(response)
                    .addListener(keepAlive ? ChannelFutureListener.CLOSE_ON_FAILURE : ChannelFutureListener.CLOSE);
        }
    }
}
