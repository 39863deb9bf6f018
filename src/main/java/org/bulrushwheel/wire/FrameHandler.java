package org.bulrushwheel.wire;

import java.util.function.Consumer;

import org.bulrushwheel.model.proto.Frame;

/** Handles one kind of frame. Called on a network thread; it must not block. */
@FunctionalInterface
public interface FrameHandler {
    /**
     * Handles a frame.
     *
     * @param frame the frame, with its sender
     * @param reply sends an answer on the same connection; may be called later, from any thread
     */
    void onFrame(Frame frame, Consumer<Frame.Builder> reply);
}
