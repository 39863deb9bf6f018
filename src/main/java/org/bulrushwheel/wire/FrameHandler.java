package org.bulrushwheel.wire;

import java.util.function.Consumer;

import org.bulrushwheel.model.proto.Frame;

/** Handles frames of one kind. Called on an event loop thread and must not block. */
@FunctionalInterface
public interface FrameHandler {
    /**
     * Handles a received frame.
     *
     * @param frame the received frame, including the name of its sender
     * @param reply sends a response on the same connection; may be called asynchronously and from any thread
     */
    void onFrame(Frame frame, Consumer<Frame.Builder> reply);
}
