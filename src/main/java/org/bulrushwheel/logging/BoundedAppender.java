package org.bulrushwheel.logging;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.core.UnsynchronizedAppenderBase;
import ch.qos.logback.core.encoder.Encoder;

/**
 * Asynchronous appender: queues log lines and writes them in batches on a single thread.
 *
 * <p>Invariants: logging threads never block; the queue is bounded; when it fills up, lines below level WARN are dropped
 * first, and a separate log line reports the number of dropped lines. Thread safe.
 */
public final class BoundedAppender extends UnsynchronizedAppenderBase<ILoggingEvent> {
    // At 500 bytes per line, a full queue takes no more than 1 MB of the memory of the smallest process.
    private static final int QUEUE_CAPACITY = 2_048;
    // Beyond this queue length, only lines of level WARN and above are accepted.
    private static final int QUEUE_CAPACITY_BELOW_WARN = 1_024;
    // Lines queued within this interval are written together: one system call per line would cost more than the line
    // itself.
    private static final long BATCH_INTERVAL_MILLIS = 50;

    private final Encoder<ILoggingEvent> encoder;
    private final OutputStream target;
    private final long stopMillis;
    private final ArrayBlockingQueue<ILoggingEvent> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final AtomicLong dropped = new AtomicLong();
    private final Thread writer = new Thread(this::run, "log");
    private volatile boolean stopping;

    /**
     * Creates an appender that writes to a stream without ever closing it.
     *
     * @param encoder format of a line
     * @param target stream that lines are written to; may block indefinitely
     * @param stopMillis maximum time that {@link #stop} waits for the stream, in milliseconds
     */
    public BoundedAppender(Encoder<ILoggingEvent> encoder, OutputStream target, long stopMillis) {
        this.stopMillis = stopMillis;
        this.encoder = encoder;
        this.target = target;
        writer.setDaemon(true);
    }

    /** Returns the number of dropped lines that no log line has reported yet. */
    public long droppedLines() {
        return dropped.get();
    }

    @Override
    public void start() {
        writer.start();
        super.start();
    }

    /** Writes the queued lines, as far as the stream accepts them within the stop time-out. */
    @Override
    public void stop() {
        super.stop();
        stopping = true;
        writer.interrupt();
        try {
            writer.join(stopMillis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    protected void append(ILoggingEvent event) {
        boolean accepted = event.getLevel().isGreaterOrEqual(Level.WARN) || queue.size() < QUEUE_CAPACITY_BELOW_WARN;
        event.prepareForDeferredProcessing();
        if (!accepted || !queue.offer(event)) {
            dropped.incrementAndGet();
        }
    }

    private void run() {
        List<ILoggingEvent> batch = new ArrayList<>();
        while (!stopping) {
            try {
                batch.add(queue.take());
                Thread.sleep(BATCH_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                // stop() interrupts the wait; the queued lines are written below, then the loop ends.
                addInfo("log appender is stopping");
            }
            queue.drainTo(batch);
            write(batch);
            batch.clear();
        }
        // In a short-lived process, stop() may be called before this thread has run the loop; the lines are still
        // queued.
        queue.drainTo(batch);
        write(batch);
    }

    private void write(List<ILoggingEvent> batch) {
        long droppedCount = dropped.getAndSet(0);
        if (droppedCount > 0) {
            batch.add(droppedLine(droppedCount));
        }
        ByteArrayOutputStream lines = new ByteArrayOutputStream();
        batch.forEach(event -> lines.writeBytes(encoder.encode(event)));
        try {
            lines.writeTo(target);
            target.flush();
        } catch (IOException e) {
            addError("cannot write the log: " + batch.size() + " lines are lost", e);
        }
    }

    private ILoggingEvent droppedLine(long droppedCount) {
        Logger logger = ((LoggerContext) getContext()).getLogger(BoundedAppender.class);
        LoggingEvent event =
                new LoggingEvent(Logger.class.getName(), logger, Level.WARN, "log lines dropped", null, new Object[0]);
        event.addKeyValuePair(new org.slf4j.event.KeyValuePair("count", droppedCount));
        return event;
    }
}
