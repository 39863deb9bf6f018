package org.bulrushwheel.server.api;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import org.bulrushwheel.kernel.KernelService;
import org.bulrushwheel.model.instance.Address;
import org.jspecify.annotations.Nullable;

/**
 * HTTP server for one interface of an instance.
 *
 * <p>Invariants: the requests of a connection are answered in the order in which they arrive; the capacity of the process
 * bounds what all connections hold. Thread safe.
 */
public final class ApiServer implements KernelService {
    /** Longest body of a call that carries no document. */
    public static final int MAX_SMALL_BODY_BYTES = 64 * 1024;

    private static final int BACKLOG = 512;

    private final String name;
    private final Address listen;
    private final EventLoopGroup loops;
    private final ApiHandler handler;
    private final ApiCapacity capacity;
    private final int maxBodyBytes;
    private final MetricRegistry metrics;
    private @Nullable Channel listener;

    /**
     * Creates a server that is not listening yet.
     *
     * @param name name of the service in the kernel, unique per interface
     * @param capacity what all interfaces of the process may hold at once
     * @param maxBodyBytes longest body of a call
     */
    public ApiServer(
            String name,
            Address listen,
            EventLoopGroup loops,
            ApiHandler handler,
            ApiCapacity capacity,
            int maxBodyBytes,
            MetricRegistry metrics) {
        this.name = name;
        this.listen = listen;
        this.loops = loops;
        this.handler = handler;
        this.capacity = capacity;
        this.maxBodyBytes = maxBodyBytes;
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
                                .addLast(new ApiConnection(name, handler, capacity, maxBodyBytes, metrics));
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
}
