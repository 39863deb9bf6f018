package org.bulrushwheel.server.edge;

import java.io.IOException;
import java.util.List;

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
    private static final int SOUND_REQUESTS = 10;

    private final EdgeFixture edge = new EdgeFixture();
    private final MalformedResponses responses = new MalformedResponses();

    @BeforeAll
    void start() throws IOException {
        edge.serve(2, responses);
    }

    @AfterAll
    void stop() {
        edge.close();
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
        int closedBefore = responses.closed();
        int droppedBefore = edge.reasonsOf(DecisionKind.RESPONSE_DROPPED).size();
        String answer = edge.callPatiently("/file/" + shape, "once-" + shape);
        assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
        assertFalse(answer.contains("whole"), answer);
        assertFalse(answer.contains("sound"), answer);
        assertEquals(1, responses.received("GET", "/file/" + shape));
        List<Object> dropped = edge.reasonsOf(DecisionKind.RESPONSE_DROPPED);
        assertEquals(List.of("malformed"), dropped.subList(droppedBefore, dropped.size()));
        awaitClosed(closedBefore + 1);
    }

    /** Guards against a repeatable request that is not retried after a malformed response. */
    @ParameterizedTest
    @MethodSource("org.bulrushwheel.logic.response.MalformedShape#all")
    void repeatableRequestIsRetried(MalformedShape shape) throws Exception {
        keepConnections();
        int closedBefore = responses.closed();
        String answer = edge.callPatiently("/read/" + shape, "read-" + shape);
        assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
        assertTrue(answer.endsWith("whole"), answer);
        assertEquals(2, responses.received("GET", "/read/" + shape));
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
        long deadlineNanos = System.nanoTime() + MalformedResponses.CLOSED_WITHIN_MILLIS * 1_000_000L;
        while (responses.closed() < expected && System.nanoTime() < deadlineNanos) {
            Thread.sleep(5);
        }
        assertEquals(expected, responses.closed(), "the connection of the malformed response was kept");
    }
}
