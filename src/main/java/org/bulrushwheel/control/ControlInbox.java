package org.bulrushwheel.control;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.bulrushwheel.kernel.ByteBudget;
import org.bulrushwheel.model.proto.Frame;

/**
 * Work that waits for the control thread, which stands still while its disk does.
 *
 * <p>Invariants: frames hold at most a budget, from their arrival until the batch that they belong to has been processed; a
 * frame that is longer than its share of it is admitted alone, so that each frame that can be received gets through.
 * Thread safe; batches are taken by one thread.
 */
final class ControlInbox {
    private static final long MAX_FRAMES_BYTES = 256L * 1024 * 1024;
    private static final long HEAP_PER_FRAMES = 8;
    // Votes, heartbeats and small orders have a quarter of the budget to themselves.
    private static final int SMALL_FRAME_BYTES = 16 * 1024;
    private static final int MAX_BATCH = 512;

    private final LinkedBlockingQueue<Work> queue = new LinkedBlockingQueue<>();
    private final List<Work> batch = new ArrayList<>();
    private final ByteBudget frames;
    private final ByteBudget largeFrames;
    private final MetricRegistry metrics;

    ControlInbox(MetricRegistry metrics) {
        this(Math.min(MAX_FRAMES_BYTES, Runtime.getRuntime().maxMemory() / HEAP_PER_FRAMES), metrics);
    }

    ControlInbox(long limitBytes, MetricRegistry metrics) {
        this.frames = new ByteBudget(limitBytes);
        this.largeFrames = frames.share(limitBytes / 4 * 3);
        this.metrics = metrics;
        metrics.gauge("control.inbox.bytes", () -> frames::reservedBytes);
    }

    private record Work(Runnable task, ByteBudget budget, long bytes) {}

    /** Adds work of this process. */
    void add(Runnable task) {
        queue.add(new Work(task, frames, 0));
    }

    /** Adds the work on a frame; returns false, and adds nothing, if there is no room for the frame now. */
    boolean add(Frame frame, Runnable task) {
        long frameBytes = frame.getSerializedSize();
        ByteBudget budget = frameBytes > SMALL_FRAME_BYTES ? largeFrames : frames;
        long bytes = Math.min(frameBytes, budget.limitBytes());
        if (!budget.tryReserve(bytes)) {
            metrics.counter("control.frames.no-memory").inc();
            return false;
        }
        queue.add(new Work(task, budget, bytes));
        return true;
    }

    /** Takes what waits, after a wait for the first of it; it must be released when it has been processed. */
    List<Runnable> takeBatch(long maxWaitMillis) throws InterruptedException {
        Work first = queue.poll(maxWaitMillis, TimeUnit.MILLISECONDS);
        if (first != null) {
            batch.add(first);
            queue.drainTo(batch, MAX_BATCH);
        }
        return batch.stream().map(Work::task).toList();
    }

    /** Releases the frames of the batch that was taken. */
    void releaseBatch() {
        batch.forEach(work -> work.budget().release(work.bytes()));
        batch.clear();
    }
}
