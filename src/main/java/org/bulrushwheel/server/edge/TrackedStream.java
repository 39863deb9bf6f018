package org.bulrushwheel.server.edge;

import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;

/**
 * A stream to a caller whose end is recorded. Confined to one event loop.
 *
 * <p>Invariant: the stream ends even if its end cannot be recorded.
 */
final class TrackedStream implements AnswerStream {
    private final AnswerStream toCaller;
    private final Consumer<Boolean> endRecorder;

    /** Creates a stream; the recorder is told whether the answer is whole. */
    TrackedStream(AnswerStream toCaller, Consumer<Boolean> endRecorder) {
        this.toCaller = toCaller;
        this.endRecorder = endRecorder;
    }

    @Override
    public void write(ByteBuf content) {
        toCaller.write(content);
    }

    @Override
    public void complete() {
        try {
            endRecorder.accept(true);
        } finally {
            toCaller.complete();
        }
    }

    @Override
    public void breakOff() {
        try {
            endRecorder.accept(false);
        } finally {
            toCaller.breakOff();
        }
    }
}
