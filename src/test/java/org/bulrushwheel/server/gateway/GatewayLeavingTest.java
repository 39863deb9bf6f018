package org.bulrushwheel.server.gateway;

import java.io.IOException;

import org.bulrushwheel.client.HttpAnswer;
import org.bulrushwheel.server.edge.ScriptedEndpoint;
import org.bulrushwheel.standin.StandInBehaviour;
import org.bulrushwheel.standin.StandInUpstream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Endpoints of the gateway that say in a response that they leave, or that they want a pause. */
@Timeout(60)
class GatewayLeavingTest {
    private static final String LEAVING = "Bulrushwheel-Leaving: 1\r\n";
    // Shorter than idle connections are kept, 15 s.
    private static final int CLOSED_WITHIN_MILLIS = 1_000;
    private static final String PAUSE = "Retry-After: 60\r\n";

    private GatewayFixture gateway;

    @BeforeEach
    void start() {
        gateway = new GatewayFixture();
    }

    @AfterEach
    void stop() {
        gateway.close();
    }

    private static String answer(ScriptedEndpoint.Received request, String kind, String header) {
        String id = "Bulrushwheel-Request-Id: " + request.header("Bulrushwheel-Request-Id") + "\r\n";
        return switch (kind) {
            case "refusal" ->
                "HTTP/1.1 503 Busy\r\nBulrushwheel-Run-State: not-run\r\n" + id + header + "Content-Length: 0\r\n\r\n";
            case "unavailable" -> "HTTP/1.1 503 Busy\r\n" + id + header + "Content-Length: 0\r\n\r\n";
            case "streamed" ->
                "HTTP/1.1 200 OK\r\n" + id + header + "Content-Length: 200000\r\n\r\n" + "a".repeat(200_000);
            default -> "HTTP/1.1 200 OK\r\n" + id + header + "Content-Length: 1\r\n\r\na";
        };
    }

    /** Guards against requests to an endpoint that has said to this instance that it leaves. */
    @ParameterizedTest
    @ValueSource(strings = {"success", "refusal", "unavailable", "streamed"})
    void endpointThatSaysThatItLeavesGetsNothingMore(String kind) throws Exception {
        try (ScriptedEndpoint endpoint =
                new ScriptedEndpoint((request, connection) -> connection.send(answer(request, kind, LEAVING)))) {
            gateway.announce("e1", endpoint);
            gateway.awaitReceived(endpoint, () -> gateway.get("/items"));
            // A late heartbeat of the same incarnation changes nothing.
            gateway.announce("e1", endpoint, 2, 60_000);
            for (int number = 0; number < 4; number++) {
                assertEquals(503, gateway.get("/items").status());
            }
            assertEquals(1, endpoint.received().size());
            assertEquals(0, endpoint.openConnectionsAfter(CLOSED_WITHIN_MILLIS), "kept connections");
            gateway.announce("e1", endpoint, 3, 0);
            gateway.awaitReceived(endpoint, () -> gateway.get("/items"));
            assertEquals(2, endpoint.received().size(), "a new incarnation is used again");
            assertEquals(2, gateway.counter("gateway.holds.leaving"));
        }
    }

    /** Guards against requests to an endpoint in the time that it has asked for, and against callers told nothing of it. */
    @ParameterizedTest
    @CsvSource({"60, 60, 73", "1.5, 2, 2", "7200, 7200, 8641", "soon, 0, 0", "-1, 0, 0", "0, 0, 0"})
    void endpointThatWantsAPauseGetsNothingUntilItsEnd(String retryAfter, long atLeastSeconds, long atMostSeconds)
            throws IOException {
        try (ScriptedEndpoint endpoint = new ScriptedEndpoint((request, connection) ->
                connection.send(answer(request, "refusal", "Retry-After: " + retryAfter + "\r\n")))) {
            gateway.announce("e1", endpoint);
            gateway.awaitReceived(endpoint, () -> gateway.get("/items"));
            HttpAnswer second = gateway.get("/items");
            assertEquals(503, second.status(), second.text());
            assertEquals("not-run", second.header("Bulrushwheel-Run-State").orElse(""));
            if (atLeastSeconds == 0) {
                assertTrue(endpoint.received().size() > 1, "no pause was asked for");
                return;
            }
            assertEquals(1, endpoint.received().size());
            long seconds = Long.parseLong(second.header("Retry-After").orElse("0"));
            assertTrue(seconds >= atLeastSeconds && seconds <= atMostSeconds, seconds + " s");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {LEAVING, PAUSE})
    void otherEndpointServesMeanwhile(String header) throws IOException {
        try (ScriptedEndpoint held = new ScriptedEndpoint(
                        (request, connection) -> connection.send(answer(request, "refusal", header)));
                ScriptedEndpoint other = new ScriptedEndpoint(
                        (request, connection) -> connection.send(answer(request, "success", "")))) {
            gateway.announce("e1", held);
            gateway.awaitReceived(held, () -> gateway.get("/items"));
            gateway.announce("e2", other);
            assertEquals(
                    200,
                    gateway.awaitReceived(other, () -> gateway.get("/items")).status());
            for (int number = 0; number < 20; number++) {
                assertEquals(200, gateway.get("/items").status());
            }
            assertEquals(1, held.received().size());
        }
    }

    /** Guards against a stand-in that can't show on a trial what a real upstream says. */
    @ParameterizedTest
    @ValueSource(strings = {"leaves", "pauses"})
    void standInSaysWhatAnUpstreamSays(String word) {
        StandInUpstream held = gateway.deployment()
                .addUpstream(StandInBehaviour.plain(GatewayFixture.SERVICE, "e1", GatewayFixture.ZONE, 4, 0));
        GatewayFixture.await(() -> gateway.get("/items").status() == 200);
        if (word.equals("leaves")) {
            held.leave();
        } else {
            held.pause(60_000);
        }
        String metric = word.equals("leaves") ? "gateway.holds.leaving" : "gateway.holds.pause";
        GatewayFixture.await(() -> gateway.get("/items").status() > 0 && gateway.counter(metric) == 1);
        StandInUpstream other = gateway.deployment()
                .addUpstream(StandInBehaviour.plain(GatewayFixture.SERVICE, "e2", GatewayFixture.ZONE, 4, 0));
        GatewayFixture.await(() -> gateway.get("/items").status() == 200);
        long before = held.served() + held.shed();
        for (int number = 0; number < 20; number++) {
            assertEquals(200, gateway.get("/items").status());
        }
        assertEquals(before, held.served() + held.shed());
        assertTrue(other.served() > 20);
    }
}
