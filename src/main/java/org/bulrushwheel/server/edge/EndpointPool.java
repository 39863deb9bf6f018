package org.bulrushwheel.server.edge;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpClientCodec;
import io.vavr.control.Either;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.instance.Address;

/**
 * Connections of this instance to one endpoint.
 *
 * <p>Invariant: a connection is reused only while the endpoint is sure to keep it open. Not thread safe: one event loop
 * uses it.
 */
final class EndpointPool {
    private static final int MAX_INITIAL_LINE_BYTES = 8_192;
    private static final int MAX_HEADER_BYTES = 65_536;
    private static final int MAX_CHUNK_BYTES = 65_536;
    private static final long DEFAULT_KEEP_ALIVE_MILLIS = 4_000;
    // The endpoint counts from when it wrote its answer; the rest covers the way and slow processes.
    private static final double KEEP_ALIVE_USED_PART = 0.85;

    private final Address address;
    private final Bootstrap bootstrap;
    private final EdgeHeaders names;
    private final TimeSource time;
    private final Deque<EndpointConnection> idle = new ArrayDeque<>();
    private boolean closed;

    EndpointPool(Address address, Bootstrap bootstrap, EdgeHeaders names, TimeSource time) {
        this.address = address;
        this.bootstrap = bootstrap;
        this.names = names;
        this.time = time;
    }

    /** Hands over an open connection, or on the left why there is none; nothing has been sent then. */
    void acquire(Consumer<Either<String, EndpointConnection>> taker) {
        Optional<EndpointConnection> pooled = takeIdle();
        if (pooled.isPresent()) {
            taker.accept(Either.right(pooled.get()));
            return;
        }
        EndpointConnection connection = new EndpointConnection(names, this);
        bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpClientCodec(MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
                                .addLast(connection);
                    }
                })
                .connect(address.toSocketAddress())
                .addListener(future -> taker.accept(
                        future.isSuccess()
                                ? Either.right(connection)
                                : Either.left(String.valueOf(
                                        ((ChannelFuture) future).cause().getMessage()))));
    }

    void idle(EndpointConnection connection, Optional<Long> keepAliveMillis) {
        if (closed) {
            connection.close();
            return;
        }
        long keepMillis = keepAliveMillis.orElse(DEFAULT_KEEP_ALIVE_MILLIS);
        connection.idleUntil(time.monotonicMillis() + (long) (keepMillis * KEEP_ALIVE_USED_PART));
        idle.addFirst(connection);
    }

    void closed(EndpointConnection connection) {
        idle.remove(connection);
    }

    void closeExpired() {
        long nowMillis = time.monotonicMillis();
        while (!idle.isEmpty() && idle.peekLast().idleDeadlineMillis() <= nowMillis) {
            idle.pollLast().close();
        }
    }

    void close() {
        closed = true;
        while (!idle.isEmpty()) {
            idle.poll().close();
        }
    }

    private Optional<EndpointConnection> takeIdle() {
        long nowMillis = time.monotonicMillis();
        while (!idle.isEmpty()) {
            EndpointConnection connection = idle.pollFirst();
            if (connection.isOpen() && connection.idleDeadlineMillis() > nowMillis) {
                return Optional.of(connection);
            }
            connection.close();
        }
        return Optional.empty();
    }
}
