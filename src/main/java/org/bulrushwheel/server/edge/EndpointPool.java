package org.bulrushwheel.server.edge;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.vavr.control.Either;
import org.bulrushwheel.logic.budget.LinkLoad;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.instance.Address;
import org.bulrushwheel.model.traffic.Endpoint;

/**
 * Pool of this instance's connections to one incarnation of an endpoint.
 *
 * <p>Invariants: a connection is reused only while the endpoint is expected to keep it open; no more connections are kept
 * than this instance's share of those that the endpoint accepts from all. Not thread safe: confined
 * to one event loop.
 */
final class EndpointPool {
    private static final long DEFAULT_KEEP_ALIVE_MILLIS = 4_000;
    // The endpoint's idle timer starts when it writes the response; the remaining fraction covers network latency and
    // scheduling delays.
    private static final double KEEP_ALIVE_USED_FRACTION = 0.85;

    private final Address address;
    private final Bootstrap bootstrap;
    private final EdgeHeaders headerNames;
    private final TimeSource time;
    private final LinkLoad link;
    private final ResponseRoom room;
    private final Deque<EndpointConnection> idleConnections = new ArrayDeque<>();
    private final IntSupplier maxConnections;
    private final Consumer<DroppedResponse> dropListener;
    private int openConnections;
    private boolean closed;

    EndpointPool(
            Endpoint endpoint,
            Bootstrap bootstrap,
            EdgeHeaders headerNames,
            TimeSource time,
            LinkLoad link,
            ResponseRoom room,
            IntSupplier maxConnections,
            Consumer<DroppedResponse> dropListener) {
        this.address = Address.parse(endpoint.address());
        this.bootstrap = bootstrap;
        this.headerNames = headerNames;
        this.time = time;
        this.link = link;
        this.room = room;
        this.maxConnections = maxConnections;
        this.dropListener = dropListener;
    }

    /**
     * Passes a connection to the callback that has not carried a request with this ID, or (left) the failure to open
     * one; nothing was sent then.
     */
    void acquire(String requestId, Consumer<Either<ConnectFailure, EndpointConnection>> callback) {
        Optional<EndpointConnection> pooled = requestId.isEmpty() ? Optional.empty() : takeIdle(requestId);
        if (pooled.isPresent()) {
            callback.accept(Either.right(pooled.get()));
        } else {
            acquireNew(callback);
        }
    }

    /** Passes a connection to the callback that has carried no request, or (left) the failure to open one. */
    void acquireNew(Consumer<Either<ConnectFailure, EndpointConnection>> callback) {
        EndpointConnection connection = new EndpointConnection(headerNames, this, room);
        ChannelFuture opening = bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(connection.byteGuard())
                                .addLast(connection.decoder())
                                .addLast(new HttpRequestEncoder())
                                .addLast(connection);
                    }
                })
                .connect(address.toSocketAddress());
        new ConnectAttempt(connection, link, time, callback).await(opening);
    }

    void returnConnection(EndpointConnection connection, Optional<Long> keepAliveMillis) {
        if (closed || openConnections > maxConnections.getAsInt()) {
            connection.close();
            return;
        }
        long keepMillis = keepAliveMillis.orElse(DEFAULT_KEEP_ALIVE_MILLIS);
        connection.setIdleDeadline(time.monotonicMillis() + (long) (keepMillis * KEEP_ALIVE_USED_FRACTION));
        idleConnections.addFirst(connection);
    }

    void onReceived(int bytes) {
        link.onReceived(bytes, time.monotonicMillis());
    }

    void onOpened() {
        openConnections++;
    }

    void onClosed(EndpointConnection connection) {
        openConnections--;
        idleConnections.remove(connection);
    }

    void closeExpired() {
        long nowMillis = time.monotonicMillis();
        while (!idleConnections.isEmpty() && idleConnections.peekLast().idleDeadlineMillis() <= nowMillis) {
            idleConnections.pollLast().close();
        }
    }

    void close() {
        closed = true;
        while (!idleConnections.isEmpty()) {
            idleConnections.poll().close();
        }
    }

    void onDropped(DroppedResponse dropped) {
        dropListener.accept(dropped);
    }

    private Optional<EndpointConnection> takeIdle(String requestId) {
        long nowMillis = time.monotonicMillis();
        for (EndpointConnection connection : List.copyOf(idleConnections)) {
            if (!connection.isOpen() || connection.idleDeadlineMillis() <= nowMillis) {
                connection.close();
            } else if (!connection.hasCarried(requestId)) {
                idleConnections.remove(connection);
                return Optional.of(connection);
            }
        }
        return Optional.empty();
    }
}
