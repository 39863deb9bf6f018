package org.bulrushwheel.logging;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

@Timeout(30)
class BoundedAppenderTest {
    private static final int MORE_LINES_THAN_CAPACITY = 10_000;
    // Long enough that a busy machine does not cut the final flush short.
    private static final long STOP_MILLIS = 20_000;

    /** A stream whose writes block until it is opened, like a full pipe without a reader. */
    private static final class BlockedStream extends OutputStream {
        private final CountDownLatch opened = new CountDownLatch(1);
        private final ByteArrayOutputStream received = new ByteArrayOutputStream();

        @Override
        public void write(int one) {
            write(new byte[] {(byte) one}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int offset, int length) {
            try {
                opened.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            synchronized (received) {
                received.write(bytes, offset, length);
            }
        }

        List<String> lines() {
            synchronized (received) {
                return received.toString(StandardCharsets.UTF_8).lines().toList();
            }
        }
    }

    private final LoggerContext context = new LoggerContext();
    private final BlockedStream stream = new BlockedStream();
    private final BoundedAppender appender = new BoundedAppender(encoder(), stream, STOP_MILLIS);

    BoundedAppenderTest() {
        context.setMDCAdapter(new LogbackMDCAdapter());
        appender.setContext(context);
        appender.start();
    }

    @Test
    void stopWritesAllLinesInOrder() {
        stream.opened.countDown();
        for (int line = 0; line < 100; line++) {
            log(Level.INFO, "line " + line);
        }
        appender.stop();
        assertEquals(100, stream.lines().size());
        assertEquals("INFO line 0", stream.lines().get(0));
        assertEquals("INFO line 99", stream.lines().get(99));
    }

    @Test
    void shortLivedProcessLosesNoLine() {
        stream.opened.countDown();
        for (int process = 0; process < 1_000; process++) {
            BoundedAppender shortLived = new BoundedAppender(encoder(), stream, STOP_MILLIS);
            shortLived.setContext(context);
            shortLived.start();
            shortLived.doAppend(event(Level.INFO, "process " + process));
            shortLived.stop();
        }
        assertEquals(1_000, stream.lines().size());
    }

    @Test
    void blockedStreamDoesNotBlockCallersAndDroppedLinesAreCounted() throws InterruptedException {
        for (int line = 0; line < MORE_LINES_THAN_CAPACITY; line++) {
            log(Level.INFO, "line " + line);
        }
        assertTrue(appender.droppedLines() > 0);
        stream.opened.countDown();
        awaitLines(2);
        appender.stop();
        long written = stream.lines().stream()
                .filter(line -> line.startsWith("INFO line"))
                .count();
        long reportedDropped = stream.lines().stream()
                .filter(line -> line.startsWith("WARN log lines dropped"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                .sum();
        assertEquals(MORE_LINES_THAN_CAPACITY, written + reportedDropped);
    }

    @Test
    void warningsAreKeptWhenInfoLinesAreDropped() throws InterruptedException {
        for (int line = 0; line < MORE_LINES_THAN_CAPACITY; line++) {
            log(Level.INFO, "line " + line);
        }
        log(Level.WARN, "refused");
        stream.opened.countDown();
        awaitLines(2);
        appender.stop();
        assertTrue(stream.lines().contains("WARN refused"));
    }

    private void awaitLines(int count) throws InterruptedException {
        while (stream.lines().size() < count) {
            Thread.sleep(10);
        }
    }

    private void log(Level level, String message) {
        appender.doAppend(event(level, message));
    }

    private LoggingEvent event(Level level, String message) {
        return new LoggingEvent(Logger.class.getName(), context.getLogger("test"), level, message, null, new Object[0]);
    }

    private PatternLayoutEncoder encoder() {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern("%level %msg%replace( %kvp{NONE}){'^ $', ''}%n");
        encoder.start();
        return encoder;
    }
}
