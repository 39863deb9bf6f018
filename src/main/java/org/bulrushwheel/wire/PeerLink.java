package org.bulrushwheel.wire;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import org.bulrushwheel.model.instance.Address;
import org.bulrushwheel.model.proto.Frame;
import org.jspecify.annotations.Nullable;

/**
 * Outgoing connection to one peer, opened on demand when a frame is sent and reopened after it was closed.
 *
 * <p>Invariants: at most one connection is open or being opened; each has a number of its own. Frames may be lost when a
 * connection closes or cannot be opened, and when too many wait for it. Thread safe: state is guarded by the intrinsic lock.
 */
final class PeerLink {
    private static final int MAX_WAITING_FRAMES = 1024;

    private final Address address;
    private final Bootstrap bootstrap;
    private final MetricRegistry metrics;
    private final Queue<Frame> waiting = new ArrayDeque<>();
    private final ConnectBackoff backoff = new ConnectBackoff();
    private @Nullable Channel channel;
    private boolean connecting;
    private long connectionNumber;
    private long nextAttemptNanos = System.nanoTime();

    PeerLink(Address address, Bootstrap bootstrap, MetricRegistry metrics) {
        this.address = address;
        this.bootstrap = bootstrap;
        this.metrics = metrics;
    }

    synchronized void send(Frame frame) {
        if (channel != null && channel.isActive()) {
            channel.writeAndFlush(frame, channel.voidPromise());
            return;
        }
        if (waiting.size() >= MAX_WAITING_FRAMES) {
            metrics.counter("peers.frames.dropped").inc();
            waiting.poll();
        }
        waiting.add(frame);
        connect();
    }

    /** Returns the number of the connection that is open or being opened, or {@link PeerNetwork#NO_CONNECTION}. */
    synchronized long connection() {
        boolean isOpen = channel != null && channel.isActive();
        return isOpen || connecting ? connectionNumber : PeerNetwork.NO_CONNECTION;
    }

    /** Whether this is the channel of the latest connection. */
    synchronized boolean isConnectedBy(Channel candidate) {
        return candidate.equals(channel);
    }

    synchronized void close() {
        if (channel != null) {
            channel.close();
        }
        waiting.clear();
    }

    private void connect() {
        if (connecting) {
            return;
        }
        if (System.nanoTime() - nextAttemptNanos < 0) {
            metrics.counter("peers.frames.dropped").inc(waiting.size());
            waiting.clear();
            return;
        }
        connecting = true;
        connectionNumber++;
        bootstrap
                .clone()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, backoff.timeoutMillis())
                .connect(address.toSocketAddress())
                .addListener(future -> connected((ChannelFuture) future));
    }

    private synchronized void connected(ChannelFuture future) {
        connecting = false;
        if (!future.isSuccess()) {
            nextAttemptNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(backoff.onFailure());
            metrics.counter("peers.connections.refused").inc();
            metrics.counter("peers.frames.dropped").inc(waiting.size());
            waiting.clear();
            return;
        }
        backoff.onSuccess();
        Channel opened = future.channel();
        channel = opened;
        waiting.forEach(frame -> opened.write(frame, opened.voidPromise()));
        opened.flush();
        waiting.clear();
    }
}
