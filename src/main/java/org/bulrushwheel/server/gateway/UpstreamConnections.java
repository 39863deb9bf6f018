package org.bulrushwheel.server.gateway;

import java.io.IOException;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.upstream.Upstream;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioIoThread;

/**
 * Idle connections to endpoints, kept for each I/O thread.
 *
 * <p>Invariants: a connection that saw trouble is never put back; a connection is used by one request at a time; a
 * pooled connection older than the last trouble with its endpoint is never used again. Thread safe: a pool is guarded
 * by itself.
 */
final class UpstreamConnections {
    private static final int MAX_IDLE_PER_ENDPOINT = 16;
    private static final long MAX_IDLE_MILLIS = 15_000;
    private static final OptionMap OPTIONS = OptionMap.builder()
            .set(UndertowOptions.MAX_HEADER_SIZE, 16 * 1024)
            .set(org.xnio.Options.TCP_NODELAY, true)
            .getMap();

    private record PoolKey(String address, XnioIoThread thread) {}

    private record Idle(PooledConnection connection, long sinceMillis) {}

    private final Map<PoolKey, Deque<Idle>> idleByPool = new ConcurrentHashMap<>();
    private final Map<String, Long> troubleMillisByAddress = new ConcurrentHashMap<>();
    private final TimeSource time;
    private final MetricRegistry metrics;

    UpstreamConnections(TimeSource time, MetricRegistry metrics) {
        this.time = time;
        this.metrics = metrics;
    }

    /** Hands out an idle connection or opens one. */
    void checkout(
            Upstream upstream,
            XnioIoThread thread,
            ByteBufferPool buffers,
            boolean freshOnly,
            ClientCallback<PooledConnection> callback) {
        PoolKey key = new PoolKey(upstream.address(), thread);
        PooledConnection pooled = freshOnly ? null : pollIdle(key);
        if (pooled != null) {
            callback.completed(pooled);
            return;
        }
        metrics.meter("upstreams.connections.opened").mark();
        UndertowClient.getInstance()
                .connect(
                        new ClientCallback<>() {
                            @Override
                            public void completed(ClientConnection connection) {
                                callback.completed(new PooledConnection(
                                        connection, upstream.address(), time.monotonicMillis(), false));
                            }

                            @Override
                            public void failed(IOException e) {
                                callback.failed(e);
                            }
                        },
                        URI.create("http://" + upstream.address()),
                        thread,
                        buffers,
                        OPTIONS);
    }

    /** Puts a connection back after a whole answer. */
    void giveBack(PooledConnection connection, XnioIoThread thread) {
        Deque<Idle> idle =
                idleByPool.computeIfAbsent(new PoolKey(connection.address(), thread), key -> new ArrayDeque<>());
        boolean kept = connection.connection().isOpen() && !isSuspect(connection);
        synchronized (idle) {
            if (kept && idle.size() < MAX_IDLE_PER_ENDPOINT) {
                idle.push(new Idle(connection.afterUse(), time.monotonicMillis()));
                return;
            }
        }
        IoUtils.safeClose(connection.connection());
    }

    /** Closes a connection after trouble; with silence, every connection that is not younger is suspect too. */
    void discard(PooledConnection connection, boolean silent) {
        IoUtils.safeClose(connection.connection());
        if (silent) {
            metrics.counter("upstreams.connections.silent").inc();
            troubleMillisByAddress.put(connection.address(), time.monotonicMillis());
        }
    }

    /** Closes connections that were idle for long; to be called now and then. */
    void closeExpired() {
        long now = time.monotonicMillis();
        idleByPool.values().forEach(idle -> {
            synchronized (idle) {
                for (Iterator<Idle> each = idle.iterator(); each.hasNext(); ) {
                    Idle candidate = each.next();
                    if (now - candidate.sinceMillis() > MAX_IDLE_MILLIS || isSuspect(candidate.connection())) {
                        each.remove();
                        IoUtils.safeClose(candidate.connection().connection());
                    }
                }
            }
        });
        long forget = now - TimeUnit.MINUTES.toMillis(10);
        troubleMillisByAddress.values().removeIf(millis -> millis < forget);
        idleByPool.values().removeIf(Deque::isEmpty);
    }

    private PooledConnection pollIdle(PoolKey key) {
        Deque<Idle> idle = idleByPool.get(key);
        if (idle == null) {
            return null;
        }
        synchronized (idle) {
            for (Idle candidate = idle.poll(); candidate != null; candidate = idle.poll()) {
                if (candidate.connection().connection().isOpen() && !isSuspect(candidate.connection())) {
                    return candidate.connection();
                }
                IoUtils.safeClose(candidate.connection().connection());
            }
        }
        return null;
    }

    private boolean isSuspect(PooledConnection connection) {
        Long troubleMillis = troubleMillisByAddress.get(connection.address());
        return troubleMillis != null && connection.openedMillis() <= troubleMillis;
    }
}
