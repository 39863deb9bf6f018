package org.bulrushwheel.wire;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.Channel;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Memory of the frames of all connections of a process that have arrived in part. If it is spent, the connection whose
 * frame has been on its way for the longest time is closed, since sound frames arrive soon.
 *
 * <p>Invariant: partial frames beyond the first {@link #FREE_BYTES} of each connection hold at most the limit. Thread safe.
 */
final class ReceivedFrames {
    /** Bytes of each connection that are not counted, so that small frames are received when the memory is spent. */
    static final int FREE_BYTES = 16 * 1024;

    private static final Logger LOGGER = LoggerFactory.getLogger(ReceivedFrames.class);
    private static final int MAX_CONNECTIONS = 1_024;

    private final long limitBytes;
    private final MetricRegistry metrics;
    private final Map<Channel, Integer> bytesByChannel = new LinkedHashMap<>();
    private long heldBytes;
    private int accepted;

    ReceivedFrames(long limitBytes, MetricRegistry metrics) {
        this.limitBytes = limitBytes;
        this.metrics = metrics;
        metrics.gauge("peers.partial-frames.bytes", () -> this::heldBytes);
    }

    synchronized long heldBytes() {
        return heldBytes;
    }

    /** Notes that a peer has connected; returns whether the connection is kept. */
    synchronized boolean accept() {
        if (accepted >= MAX_CONNECTIONS) {
            metrics.counter("peers.refused.connection").inc();
            return false;
        }
        accepted++;
        return true;
    }

    /** Notes that a connection of a peer that was kept has ended. */
    synchronized void ended() {
        accepted--;
    }

    /** Notes how many bytes of an incomplete frame a connection holds; 0 if it holds none. */
    synchronized void hold(Channel channel, int bytes) {
        int counted = Math.max(0, bytes - FREE_BYTES);
        Integer before = bytesByChannel.get(channel);
        heldBytes += counted - (before == null ? 0 : before);
        if (counted == 0) {
            bytesByChannel.remove(channel);
            return;
        }
        bytesByChannel.put(channel, counted);
        while (heldBytes > limitBytes) {
            closeOldest();
        }
    }

    private void closeOldest() {
        Iterator<Map.Entry<Channel, Integer>> entries =
                bytesByChannel.entrySet().iterator();
        Map.Entry<Channel, Integer> oldest = entries.next();
        heldBytes -= oldest.getValue();
        entries.remove();
        metrics.counter("peers.refused.no-memory").inc();
        LOGGER.warn(
                "partial frames fill their memory; closing the oldest peer={} bytes={}",
                oldest.getKey().remoteAddress(),
                oldest.getValue());
        oldest.getKey().close();
    }
}
