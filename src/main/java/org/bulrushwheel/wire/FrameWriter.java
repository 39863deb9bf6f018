package org.bulrushwheel.wire;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import org.bulrushwheel.kernel.ByteBudget;
import org.bulrushwheel.model.proto.Frame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Drops frames for a peer that does not read: a frame may be lost anyway, and whoever sent it sends it again.
 *
 * <p>Invariants: the frames of a connection that are not written yet hold at most {@link #FREE_BYTES} that are not reserved
 * from the budget of the process. They hold at most a quarter of that budget, or a single frame that is longer, so that each
 * frame that a peer accepts can be sent. Not thread safe: confined to its event loop.
 */
final class FrameWriter extends ChannelOutboundHandlerAdapter {
    /** Bytes of each connection that need no reservation, so that small frames are sent when the budget is spent. */
    static final int FREE_BYTES = 16 * 1024;

    private static final Logger LOGGER = LoggerFactory.getLogger(FrameWriter.class);
    private static final int CONNECTIONS_PER_BUDGET = 4;

    private final ByteBudget budget;
    private final MetricRegistry metrics;
    private long pendingBytes;
    private boolean tooLongLogged;

    FrameWriter(ByteBudget budget, MetricRegistry metrics) {
        this.budget = budget;
        this.metrics = metrics;
    }

    /** Returns whether frames wait to be written. */
    boolean hasPending() {
        return pendingBytes > 0;
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (!(message instanceof Frame frame)) {
            context.write(message, promise);
            return;
        }
        int bytes = FrameCodec.LENGTH_FIELD_BYTES + frame.getSerializedSize();
        boolean isFree = pendingBytes + bytes <= FREE_BYTES;
        boolean isAlone = pendingBytes <= FREE_BYTES;
        boolean isWithinShare = pendingBytes + bytes <= budget.limitBytes() / CONNECTIONS_PER_BUDGET;
        boolean fits = isFree || (isAlone || isWithinShare) && budget.tryReserve(bytes);
        if (!fits) {
            if (bytes > budget.limitBytes()) {
                onTooLong(context, frame, bytes);
            } else {
                metrics.counter("peers.frames.unread").inc();
            }
            if (!promise.isVoid()) {
                promise.tryFailure(new PeerUnreachableException(
                        String.valueOf(context.channel().remoteAddress())));
            }
            return;
        }
        pendingBytes += bytes;
        context.write(message, promise.unvoid()).addListener(done -> {
            pendingBytes -= bytes;
            if (!isFree) {
                budget.release(bytes);
            }
        });
    }

    /** Such a frame is lost each time it is sent, whether the peer reads or not; logged once for each connection. */
    private void onTooLong(ChannelHandlerContext context, Frame frame, int bytes) {
        metrics.counter("peers.frames.too-long").inc();
        if (!tooLongLogged) {
            tooLongLogged = true;
            LOGGER.error(
                    "frame dropped, longer than a connection may hold kind={} bytes={} limitBytes={} peer={};"
                            + " give the process more heap (-Xmx)",
                    frame.getBodyCase(),
                    bytes,
                    budget.limitBytes(),
                    context.channel().remoteAddress());
        }
    }
}
