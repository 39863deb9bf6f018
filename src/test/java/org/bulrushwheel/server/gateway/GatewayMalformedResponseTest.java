package org.bulrushwheel.server.gateway;

import java.io.IOException;
import java.util.Map;

import org.bulrushwheel.client.HttpAnswer;
import org.bulrushwheel.logic.response.MalformedShape;
import org.bulrushwheel.server.edge.MalformedResponses;
import org.bulrushwheel.server.edge.ScriptedEndpoint;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Malformed responses on the connections of the gateway. */
@Timeout(60)
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class GatewayMalformedResponseTest {
    private static final int SOUND_REQUESTS = 10;

    private final MalformedResponses responses = new MalformedResponses();
    private GatewayFixture gateway;
    private ScriptedEndpoint first;
    private ScriptedEndpoint second;

    @BeforeAll
    void start() throws IOException {
        gateway = new GatewayFixture();
        first = new ScriptedEndpoint(responses);
        second = new ScriptedEndpoint(responses);
        gateway.announce("first", first);
        gateway.awaitReceived(first, () -> gateway.get("/sound"));
        gateway.announce("second", second);
    }

    @AfterAll
    void stop() throws IOException {
        first.close();
        second.close();
        gateway.close();
    }

    /** Guards against a malformed response that its caller gets, and against a second run of its request. */
    @ParameterizedTest
    @MethodSource("org.bulrushwheel.logic.response.MalformedShape#all")
    void requestThatRunsOnceEndsWith502(MalformedShape shape) {
        int closedBefore = responses.closed();
        long droppedBefore = gateway.counter("gateway.responses.dropped.malformed");
        String path = "/refunds/" + shape;
        Map<String, String> key = Map.of("Idempotency-Key", shape.name());
        HttpAnswer answer = gateway.call("POST", path, key, new byte[] {1});
        assertEquals(502, answer.status(), answer.text());
        assertEquals("upstream-failed", answer.header("Bulrushwheel-Refusal").orElse("none"));
        assertEquals("unknown", answer.header("Bulrushwheel-Run-State").orElse("none"));
        GatewayFixture.await(() -> responses.closed() == closedBefore + 1);
        assertEquals(droppedBefore + 1, gateway.counter("gateway.responses.dropped.malformed"));
        HttpAnswer repeated = gateway.call("POST", path, key, new byte[] {1});
        assertEquals("unknown", repeated.header("Bulrushwheel-Run-State").orElse("none"), repeated.text());
        assertEquals(1, responses.received("POST", path));
    }

    /** Guards against a repeatable request that is not retried, or is suspected of crashing endpoints. */
    @ParameterizedTest
    @MethodSource("org.bulrushwheel.logic.response.MalformedShape#all")
    void repeatableRequestIsRetried(MalformedShape shape) {
        int closedBefore = responses.closed();
        String path = "/items/" + shape;
        for (int index = 0; index < SOUND_REQUESTS; index++) {
            assertEquals("whole", gateway.get("/sound").text());
        }
        HttpAnswer answer = gateway.get(path);
        assertEquals(200, answer.status(), answer.text());
        assertEquals("whole", answer.text());
        assertEquals(2, responses.received("GET", path));
        GatewayFixture.await(() -> responses.closed() == closedBefore + 1);
    }

    /** Guards against a response that looks whole although its chunks break behind its beginning. */
    @Test
    void responseThatBreaksBehindItsBeginningEndsVisibly() {
        HttpAnswer answer = gateway.get("/items/late");
        assertEquals(0, answer.status(), answer.text());
        HttpAnswer once = gateway.call("POST", "/refunds/late", Map.of("Idempotency-Key", "late"), new byte[] {1});
        assertEquals(502, once.status(), once.text());
        assertEquals("unknown", once.header("Bulrushwheel-Run-State").orElse("none"));
    }

    /** Guards against a whole body that is lost with a trailer, and against a trailer that a caller gets. */
    @Test
    void malformedTrailerIsLeftOut() {
        HttpAnswer answer = gateway.get("/items/trailer");
        assertEquals(200, answer.status(), answer.text());
        assertEquals("whole", answer.text());
        assertTrue(answer.header("No te").isEmpty() && answer.header("No").isEmpty(), answer.headers()::toString);
    }
}
