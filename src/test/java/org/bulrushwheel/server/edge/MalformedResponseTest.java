package org.bulrushwheel.server.edge;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.bulrushwheel.logic.response.MalformedHead;
import org.bulrushwheel.model.decision.DecisionKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Responses with a malformed head on the connections of an entry instance. */
@Timeout(30)
class MalformedResponseTest {
    private static final int CLOSED_WITHIN_MILLIS = 2_000;

    private final EdgeFixture edge = new EdgeFixture();
    private final AtomicInteger closed = new AtomicInteger();

    @AfterEach
    void close() {
        edge.close();
    }

    private void serve(int count, MalformedHead shape) throws IOException {
        AtomicInteger sent = new AtomicInteger();
        edge.serve(count, (request, connection) -> {
            String id = request.header("Bulrushwheel-Request-Id");
            String sound = MalformedHead.soundResponse(id);
            if (id.equals("a1") || sent.getAndIncrement() > 0) {
                connection.send(sound);
                return;
            }
            connection.send(shape.in(sound));
            if (connection.isClosedWithin(CLOSED_WITHIN_MILLIS)) {
                closed.incrementAndGet();
            }
        });
    }

    /** Guards against a malformed response that its caller gets, and against a second run of its request. */
    @ParameterizedTest
    @EnumSource
    void requestThatRunsOnceEndsWith502(MalformedHead shape) throws Exception {
        serve(2, shape);
        assertTrue(edge.call("/file/x", "a1").endsWith("whole"));
        String answer = edge.callPatiently("/file/x", "a2");
        assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
        assertFalse(answer.contains("whole"), answer);
        assertFalse(answer.contains("sound"), answer);
        assertEquals(2, edge.totalReceived());
        assertEquals(List.of("malformed"), edge.reasonsOf(DecisionKind.RESPONSE_DROPPED));
        awaitClosed();
    }

    /** Guards against a repeatable request that is not retried after a malformed response. */
    @ParameterizedTest
    @EnumSource
    void repeatableRequestIsRetried(MalformedHead shape) throws Exception {
        serve(2, shape);
        assertTrue(edge.call("/read/x", "a1").endsWith("whole"));
        String answer = edge.callPatiently("/read/x", "a2");
        assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
        assertTrue(answer.endsWith("whole"), answer);
        assertEquals(3, edge.totalReceived());
        awaitClosed();
    }

    private void awaitClosed() throws InterruptedException {
        long deadlineNanos = System.nanoTime() + CLOSED_WITHIN_MILLIS * 1_000_000L;
        while (closed.get() == 0 && System.nanoTime() < deadlineNanos) {
            Thread.sleep(5);
        }
        assertEquals(1, closed.get(), "the connection of the malformed response was kept");
    }
}
