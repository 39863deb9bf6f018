package org.bulrushwheel.server.api;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.Channel;
import org.bulrushwheel.kernel.ByteBudget;

/**
 * What the interfaces of a process may hold at once: connections, bodies of calls, and responses that have not been
 * written. All interfaces of a process share one instance, since they share its memory.
 *
 * <p>Invariants: at most {@link #MAX_CONNECTIONS} connections are open; bodies and responses beyond the first bytes of
 * each connection stay within their budgets. Thread safe.
 */
public final class ApiCapacity {
    static final int MAX_CONNECTIONS = 1_024;

    /** Bytes of a connection's first call that need no reservation, so that small calls pass when the budget is spent. */
    static final int FREE_BYTES = 4 * 1_024;

    private static final long MAX_DOCUMENT_BYTES = 16L * 1024 * 1024;
    private static final long MAX_BUDGET_BYTES = 64L * 1024 * 1024;
    // A parsed document takes up to twelve times its size.
    private static final long HEAP_PER_DOCUMENT = 32;
    private static final long HEAP_PER_BUDGET = 8;

    private final ByteBudget bodies;
    private final ByteBudget responses;
    private final int maxDocumentBytes;
    private final Set<Channel> idle = new LinkedHashSet<>();
    private int connections;

    /** Creates the capacity of a process with this much heap. */
    public ApiCapacity(long maxHeapBytes, MetricRegistry metrics) {
        bodies = new ByteBudget(Math.min(MAX_BUDGET_BYTES, maxHeapBytes / HEAP_PER_BUDGET));
        responses = new ByteBudget(Math.min(MAX_BUDGET_BYTES, maxHeapBytes / HEAP_PER_BUDGET));
        maxDocumentBytes = (int) Math.min(MAX_DOCUMENT_BYTES, maxHeapBytes / HEAP_PER_DOCUMENT);
        metrics.gauge("api.bodies.bytes", () -> bodies::reservedBytes);
        metrics.gauge("api.responses.bytes", () -> responses::reservedBytes);
        metrics.gauge("api.connections", () -> this::connections);
    }

    /** Returns the longest body that an interface for operators accepts. */
    public int maxDocumentBytes() {
        return maxDocumentBytes;
    }

    ByteBudget bodies() {
        return bodies;
    }

    ByteBudget responses() {
        return responses;
    }

    synchronized int connections() {
        return connections;
    }

    /** Admits a connection, for which the one that has been idle for the longest time may be closed; returns whether it is. */
    synchronized boolean open(Channel channel) {
        if (connections >= MAX_CONNECTIONS) {
            Iterator<Channel> longestIdle = idle.iterator();
            if (!longestIdle.hasNext()) {
                return false;
            }
            longestIdle.next().close();
            longestIdle.remove();
        }
        connections++;
        idle.add(channel);
        return true;
    }

    /** Notes that an admitted connection was closed. */
    synchronized void closed(Channel channel) {
        connections--;
        idle.remove(channel);
    }

    /** Notes that a call on an admitted connection was received. */
    synchronized void busy(Channel channel) {
        idle.remove(channel);
    }

    /** Notes that all calls on an admitted connection were answered. */
    synchronized void idle(Channel channel) {
        if (channel.isActive()) {
            idle.add(channel);
        }
    }
}
