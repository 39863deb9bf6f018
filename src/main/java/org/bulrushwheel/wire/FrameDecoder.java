package org.bulrushwheel.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;

/**
 * Splits received bytes into frames and accounts for the frame that is incomplete.
 *
 * <p>Not thread safe: confined to the event loop of its connection.
 */
final class FrameDecoder extends LengthFieldBasedFrameDecoder {
    private final ReceivedFrames received;
    private boolean kept = true;

    FrameDecoder(int maxFrameBytes, ReceivedFrames received) {
        super(maxFrameBytes, 0, FrameCodec.LENGTH_FIELD_BYTES, 0, FrameCodec.LENGTH_FIELD_BYTES);
        this.received = received;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) throws Exception {
        boolean isAccepted = context.channel().parent() != null;
        kept = !isAccepted || received.accept();
        if (!kept) {
            context.close();
        }
        super.channelActive(context);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        boolean isAccepted = context.channel().parent() != null;
        if (isAccepted && kept) {
            received.ended();
        }
        received.hold(context.channel(), 0);
        super.channelInactive(context);
    }

    @Override
    protected Object decode(ChannelHandlerContext context, ByteBuf bytes) throws Exception {
        Object frame = super.decode(context, bytes);
        if (context.channel().isActive()) {
            received.hold(context.channel(), bytes.readableBytes());
        }
        return frame;
    }
}
