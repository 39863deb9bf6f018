package org.bulrushwheel.server.edge;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.bulrushwheel.logic.response.MalformedChunks;
import org.bulrushwheel.logic.response.MalformedHead;
import org.bulrushwheel.logic.response.MalformedShape;
import org.bulrushwheel.model.decision.DecisionKind;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Malformed responses on the connections of an entry instance. */
@Timeout(30)
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class MalformedResponseTest {
    private static final int CLOSED_WITHIN_MILLIS = 5_000;
    private static final int SOUND_REQUESTS = 10;

    private final EdgeFixture edge = new EdgeFixture();
    private final Map<String, AtomicInteger> receivedByPath = new ConcurrentHashMap<>();
    private final AtomicInteger closed = new AtomicInteger();

    @BeforeAll
    void start() throws IOException {
        edge.serve(2, this::answer);
    }

    @AfterAll
    void stop() {
        edge.close();
    }

    /** The first request of a path that ends with the name of a shape gets a malformed response. */
    private void answer(ScriptedEndpoint.Received request, ScriptedEndpoint.Connection connection) throws IOException {
        String id = request.header("Bulrushwheel-Request-Id");
        String path = request.line().split(" ")[1];
        int before = received(path).getAndIncrement();
        if (path.endsWith("/sound") || before > 0) {
            connection.send(MalformedHead.soundResponse(id));
            return;
        }
        if (path.endsWith("/trailer")) {
            connection.send(MalformedChunks.chunkedHead(id) + "5\r\nwhole\r\n0\r\nNo te: sound\r\n\r\n");
            return;
        }
        connection.send(
                MalformedShape.named(path.substring(path.lastIndexOf('/') + 1)).response(id));
        if (connection.isClosedWithin(CLOSED_WITHIN_MILLIS)) {
            closed.incrementAndGet();
        }
    }

    private AtomicInteger received(String path) {
        return receivedByPath.computeIfAbsent(path, each -> new AtomicInteger());
    }

    private void keepConnections() throws IOException {
        for (int index = 0; index < SOUND_REQUESTS; index++) {
            String answer = edge.callPatiently("/read/sound", "sound" + index);
            assertTrue(answer.endsWith("whole"), answer);
        }
    }

    /** Guards against a malformed response that its caller gets, and against a second run of its request. */
    @ParameterizedTest
    @MethodSource("org.bulrushwheel.logic.response.MalformedShape#all")
    void requestThatRunsOnceEndsWith502(MalformedShape shape) throws Exception {
        keepConnections();
        int closedBefore = closed.get();
        int droppedBefore = edge.reasonsOf(DecisionKind.RESPONSE_DROPPED).size();
        String answer = edge.callPatiently("/file/" + shape, "once-" + shape);
        assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
        assertFalse(answer.contains("whole"), answer);
        assertFalse(answer.contains("sound"), answer);
        assertEquals(1, received("/file/" + shape).get());
        List<Object> dropped = edge.reasonsOf(DecisionKind.RESPONSE_DROPPED);
        assertEquals(List.of("malformed"), dropped.subList(droppedBefore, dropped.size()));
        awaitClosed(closedBefore + 1);
    }

    /** Guards against a repeatable request that is not retried after a malformed response. */
    @ParameterizedTest
    @MethodSource("org.bulrushwheel.logic.response.MalformedShape#all")
    void repeatableRequestIsRetried(MalformedShape shape) throws Exception {
        keepConnections();
        int closedBefore = closed.get();
        String answer = edge.callPatiently("/read/" + shape, "read-" + shape);
        assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
        assertTrue(answer.endsWith("whole"), answer);
        assertEquals(2, received("/read/" + shape).get());
        awaitClosed(closedBefore + 1);
    }

    /** Guards against a whole body that is lost with a trailer, and against a trailer that a caller gets. */
    @Test
    void malformedTrailerIsLeftOut() throws IOException {
        String answer = edge.callPatiently("/file/trailer", "trailer");
        assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
        assertTrue(answer.contains("whole"), answer);
        assertFalse(answer.contains("No te"), answer);
    }

    private void awaitClosed(int expected) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + CLOSED_WITHIN_MILLIS * 1_000_000L;
        while (closed.get() < expected && System.nanoTime() < deadlineNanos) {
            Thread.sleep(5);
        }
        assertEquals(expected, closed.get(), "the connection of the malformed response was kept");
    }
}
