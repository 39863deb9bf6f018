package org.bulrushwheel.server.gateway;

import java.io.IOException;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import com.codahale.metrics.MetricRegistry;
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
 * Pools of idle connections, one per endpoint and I/O thread.
 *
 * <p>Invariants: a connection that failed is never returned to the pool; a connection is used by one request at a time;
 * a connection that was opened before the endpoint's last detected silent connection, or before it said that it leaves, is
 * never reused. Thread safe: each
 * pool is guarded by its own monitor.
 */
final class UpstreamConnections {
    private static final int MAX_IDLE_PER_ENDPOINT = 16;
    private static final long MAX_IDLE_MILLIS = 15_000;
    private static final OptionMap OPTIONS =
            OptionMap.builder().set(org.xnio.Options.TCP_NODELAY, true).getMap();

    private record PoolKey(String address, XnioIoThread thread) {}

    private record IdleConnection(PooledConnection connection, long idleSinceMillis) {}

    private final Map<PoolKey, Deque<IdleConnection>> idleByPool = new ConcurrentHashMap<>();
    private final Map<String, Long> retiredMillisByAddress = new ConcurrentHashMap<>();
    private final TimeSource time;
    private final MetricRegistry metrics;

    UpstreamConnections(TimeSource time, MetricRegistry metrics) {
        this.time = time;
        this.metrics = metrics;
    }

    /** Passes an idle connection to the callback, or opens a new one. */
    void checkout(
            Upstream upstream,
            XnioIoThread thread,
            ByteBufferPool buffers,
            boolean newConnectionOnly,
            ClientCallback<PooledConnection> callback) {
        PoolKey key = new PoolKey(upstream.address(), thread);
        PooledConnection pooled = newConnectionOnly ? null : pollIdle(key);
        if (pooled != null) {
            callback.completed(pooled);
            return;
        }
        metrics.meter("upstreams.connections.opened").mark();
        GuardedOpener opener = new GuardedOpener(thread.getWorker().getXnio());
        UndertowClient.getInstance()
                .connect(
                        new ClientCallback<>() {
                            @Override
                            public void completed(ClientConnection connection) {
                                callback.completed(new PooledConnection(
                                        connection,
                                        opener.source().orElseThrow(),
                                        upstream.address(),
                                        time.monotonicMillis(),
                                        false));
                            }

                            @Override
                            public void failed(IOException e) {
                                callback.failed(e);
                            }
                        },
                        URI.create(GuardedOpener.SCHEME + "://" + upstream.address()),
                        thread,
                        opener,
                        buffers,
                        OPTIONS);
    }

    /** Returns a connection to the pool after a complete response, or closes it if it must not be reused. */
    void returnToPool(PooledConnection connection, XnioIoThread thread) {
        boolean reusable = connection.connection().isOpen() && !isSuspect(connection);
        if (!reusable || !tryAddIdle(new PoolKey(connection.address(), thread), connection.afterUse())) {
            IoUtils.safeClose(connection.connection());
        }
    }

    private boolean tryAddIdle(PoolKey key, PooledConnection connection) {
        AtomicBoolean added = new AtomicBoolean();
        idleByPool.compute(key, (pool, present) -> {
            Deque<IdleConnection> idle = present == null ? new ArrayDeque<>() : present;
            synchronized (idle) {
                if (idle.size() < MAX_IDLE_PER_ENDPOINT) {
                    idle.push(new IdleConnection(connection, time.monotonicMillis()));
                    added.set(true);
                }
            }
            return idle;
        });
        return added.get();
    }

    /**
     * Closes a connection instead of returning it to the pool. If it went silent, all connections to the same address
     * that are already open become suspect and are not reused.
     */
    void discard(PooledConnection connection, boolean silent) {
        IoUtils.safeClose(connection.connection());
        if (silent) {
            metrics.counter("upstreams.connections.silent").inc();
            retiredMillisByAddress.put(connection.address(), time.monotonicMillis());
        }
    }

    /** Ends all connections to an address that are open now: those in use are closed when they become idle. */
    void retire(String address) {
        retiredMillisByAddress.put(address, time.monotonicMillis());
        idleByPool.forEach((key, idle) -> {
            if (key.address().equals(address)) {
                synchronized (idle) {
                    idle.removeIf(candidate -> isSuspect(candidate.connection()) && closed(candidate.connection()));
                }
            }
        });
    }

    private static boolean closed(PooledConnection connection) {
        IoUtils.safeClose(connection.connection());
        return true;
    }

    /** Closes connections that exceeded the idle timeout or are suspect; must be called periodically. */
    void closeExpired() {
        long nowMillis = time.monotonicMillis();
        idleByPool.values().forEach(idle -> {
            synchronized (idle) {
                for (Iterator<IdleConnection> each = idle.iterator(); each.hasNext(); ) {
                    IdleConnection candidate = each.next();
                    if (nowMillis - candidate.idleSinceMillis() > MAX_IDLE_MILLIS
                            || isSuspect(candidate.connection())) {
                        each.remove();
                        IoUtils.safeClose(candidate.connection().connection());
                    }
                }
            }
        });
        long expiredBeforeMillis = nowMillis - TimeUnit.MINUTES.toMillis(10);
        retiredMillisByAddress.values().removeIf(millis -> millis < expiredBeforeMillis);
        // Holding the map entry keeps a connection from being returned to a pool that is just dropped.
        idleByPool
                .keySet()
                .forEach(key -> idleByPool.computeIfPresent(key, (present, idle) -> {
                    synchronized (idle) {
                        return idle.isEmpty() ? null : idle;
                    }
                }));
    }

    private PooledConnection pollIdle(PoolKey key) {
        Deque<IdleConnection> idle = idleByPool.get(key);
        if (idle == null) {
            return null;
        }
        synchronized (idle) {
            for (IdleConnection candidate = idle.poll(); candidate != null; candidate = idle.poll()) {
                if (candidate.connection().connection().isOpen() && !isSuspect(candidate.connection())) {
                    return candidate.connection();
                }
                IoUtils.safeClose(candidate.connection().connection());
            }
        }
        return null;
    }

    private boolean isSuspect(PooledConnection connection) {
        Long retiredMillis = retiredMillisByAddress.get(connection.address());
        return retiredMillis != null && connection.openedMillis() <= retiredMillis;
    }
}
