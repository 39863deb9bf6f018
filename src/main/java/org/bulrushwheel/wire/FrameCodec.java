package org.bulrushwheel.wire;

import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import org.bulrushwheel.kernel.ByteBudget;
import org.bulrushwheel.model.proto.Frame;
import org.bulrushwheel.model.proto.FrameError;
import org.bulrushwheel.model.proto.KeepAlive;

/**
 * Netty pipeline of a connection between instances: length-prefixed protobuf frames, keep-alives on an idle connection,
 * and closing of a connection on which nothing has been received, or whose peer has read nothing of what waits for it,
 * within the idle timeout.
 *
 * <p>Invariant: partial frames and unwritten frames hold at most what the process allows for all connections.
 *
 * <p>Thread safe: the handlers of a channel run on its event loop.
 */
final class FrameCodec extends ChannelInitializer<SocketChannel> {
    static final int LENGTH_FIELD_BYTES = 4;
    private static final long WRITE_IDLE_MILLIS = 500;
    private static final long READ_IDLE_MILLIS = 2_000;
    private static final int UNREAD_LIMIT = (int) (READ_IDLE_MILLIS / WRITE_IDLE_MILLIS);

    private final int maxFrameBytes;
    private final ReceivedFrames received;
    private final ByteBudget unwritten;
    private final MetricRegistry metrics;
    private final BiConsumer<ChannelHandlerContext, Frame> receiver;

    /**
     * Creates the pipeline of connections.
     *
     * @param received memory of partial frames of all connections of the process
     * @param unwritten bytes of frames of all connections that are not written yet
     */
    FrameCodec(
            int maxFrameBytes,
            ReceivedFrames received,
            ByteBudget unwritten,
            MetricRegistry metrics,
            BiConsumer<ChannelHandlerContext, Frame> receiver) {
        this.maxFrameBytes = maxFrameBytes;
        this.received = received;
        this.unwritten = unwritten;
        this.metrics = metrics;
        this.receiver = receiver;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addLast(new IdleStateHandler(true, READ_IDLE_MILLIS, WRITE_IDLE_MILLIS, 0, TimeUnit.MILLISECONDS));
        pipeline.addLast(new FrameDecoder(maxFrameBytes, received));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES));
        pipeline.addLast(new ProtobufDecoder(Frame.getDefaultInstance()));
        pipeline.addLast(new ProtobufEncoder());
        FrameWriter writer = new FrameWriter(unwritten, metrics);
        pipeline.addLast(writer);
        pipeline.addLast(new Receiver(writer));
        pipeline.addLast(new ChannelExceptionHandler());
    }

    private final class Receiver extends SimpleChannelInboundHandler<Frame> {
        private final FrameWriter writer;
        private int unreadIntervals;

        Receiver(FrameWriter writer) {
            this.writer = writer;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            metrics.meter("peers.frames.received").mark();
            metrics.meter("peers.bytes.received").mark(LENGTH_FIELD_BYTES + frame.getSerializedSize());
            if (!frame.hasKeepAlive()) {
                receiver.accept(context, frame);
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
            if (!(event instanceof IdleStateEvent idle)) {
                super.userEventTriggered(context, event);
                return;
            }
            if (idle.state() == IdleState.WRITER_IDLE && writer.hasPending()) {
                onUnread(context, idle);
            } else if (idle.state() == IdleState.WRITER_IDLE) {
                context.writeAndFlush(Frame.newBuilder()
                        .setKeepAlive(KeepAlive.getDefaultInstance())
                        .build());
            } else {
                metrics.counter("peers.connections.silent").inc();
                context.close();
            }
        }

        private void onUnread(ChannelHandlerContext context, IdleStateEvent idle) {
            unreadIntervals = idle.isFirst() ? 1 : unreadIntervals + 1;
            if (unreadIntervals >= UNREAD_LIMIT) {
                metrics.counter("peers.connections.unread").inc();
                context.close();
            }
        }
    }

    /** Replies to an undecodable frame with a typed error, counts it and closes only the affected connection. */
    private final class ChannelExceptionHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            Throwable root = cause instanceof DecoderException && cause.getCause() != null ? cause.getCause() : cause;
            if (cause instanceof TooLongFrameException) {
                reject(context, "frame-too-long", "send frames of at most " + maxFrameBytes + " bytes");
            } else if (cause instanceof DecoderException || cause instanceof CorruptedFrameException) {
                reject(context, "frame-malformed", "send length-prefixed frames of this release: " + root.getMessage());
            } else {
                metrics.counter("peers.connections.failed").inc();
                context.close();
            }
        }

        private void reject(ChannelHandlerContext context, String reason, String remedy) {
            metrics.counter("peers.refused." + reason).inc();
            Frame error = Frame.newBuilder()
                    .setError(FrameError.newBuilder().setReason(reason).setRemedy(remedy))
                    .build();
            context.writeAndFlush(error).addListener(done -> context.close());
        }
    }
}
