package org.bulrushwheel.server.edge;

import java.io.IOException;

import org.bulrushwheel.model.decision.DecisionField;
import org.bulrushwheel.model.decision.DecisionKind;
import org.bulrushwheel.model.proto.EndpointRecord;
import org.bulrushwheel.model.proto.FleetUpdate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Endpoints that say in an answer that they leave, or that they want a pause. */
@Timeout(30)
class LeavingEndpointTest {
    private static final String LEAVING = "Bulrushwheel-Leaving: 1\r\n";
    // Shorter than idle connections are kept, 3.4 s.
    private static final int CLOSED_WITHIN_MILLIS = 1_000;

    private final EdgeFixture edge = new EdgeFixture();

    @AfterEach
    void close() {
        edge.close();
    }

    private int received(int endpoint) {
        return edge.endpoints().get(endpoint).received().size();
    }

    private static String answer(ScriptedEndpoint.Received request, String kind, String header) {
        String id = "Bulrushwheel-Request-Id: " + request.header("Bulrushwheel-Request-Id") + "\r\n";
        return switch (kind) {
            case "refusal" ->
                "HTTP/1.1 503 Service Unavailable\r\nBulrushwheel-Not-Executed: 1\r\n" + id + header
                        + "Content-Length: 0\r\n\r\n";
            case "misdirected" -> "HTTP/1.1 421 Misdirected Request\r\n" + id + header + "Content-Length: 0\r\n\r\n";
            case "streamed" ->
                "HTTP/1.1 200 OK\r\n" + id + header + "Content-Length: 50000\r\n\r\n" + "a".repeat(50_000);
            default -> "HTTP/1.1 200 OK\r\n" + id + header + "Content-Length: 1\r\n\r\na";
        };
    }

    /** Guards against requests to an endpoint that has said to this instance that it leaves. */
    @ParameterizedTest
    @ValueSource(strings = {"success", "refusal", "misdirected", "streamed"})
    void endpointThatSaysThatItLeavesGetsNothingMore(String kind) throws Exception {
        edge.serve(1, (request, connection) -> connection.send(answer(request, kind, LEAVING)));
        edge.call("/read/x", "a1");
        // A late heartbeat of the same incarnation changes nothing.
        edge.update(FleetUpdate.newBuilder()
                .addEndpoints(EdgeFixture.endpoint("e0", edge.endpoints().get(0)).toBuilder()
                        .setSequence(9)
                        .setSlots(5)));
        assertTrue(edge.call("/read/x", "a2").startsWith("HTTP/1.1 503"));
        assertEquals(1, received(0));
        assertEquals(0, edge.endpoints().get(0).openConnectionsAfter(CLOSED_WITHIN_MILLIS), "kept connections");
        edge.update(FleetUpdate.newBuilder()
                .addEndpoints(EdgeFixture.endpoint("e0", edge.endpoints().get(0)).toBuilder()
                        .setBornEpochMillis(7)));
        edge.call("/read/x", "a3");
        assertEquals(2, received(0), "a new incarnation is used at once");
        assertEquals(
                2,
                edge.decisions().stream()
                        .filter(decision -> decision.kind() == DecisionKind.ENDPOINT_JUDGED)
                        .filter(decision -> "leaving".equals(decision.fields().get(DecisionField.REASON)))
                        .count(),
                "one line for each incarnation");
    }

    @ParameterizedTest
    @CsvSource({
        // Value of Retry-After, status of a request soon after, and what its Retry-After is at least.
        "1, 503, 0.6",
        "0.9, 503, 0.6",
        "0, 200, 0",
        "-1, 200, 0",
        "soon, 200, 0",
        "7200, 503, 7000"
    })
    void endpointThatWantsAPauseGetsNothingUntilItsEnd(String retryAfter, int status, double atLeastSeconds)
            throws Exception {
        edge.serve(
                1,
                (request, connection) -> connection.send(
                        request.header("Bulrushwheel-Request-Id").equals("a1")
                                ? answer(request, "refusal", "Retry-After: " + retryAfter + "\r\n")
                                : answer(request, "success", "")));
        assertTrue(edge.call("/read/x", "a1").startsWith("HTTP/1.1 503"));
        String second = edge.call("/read/x", "a2");
        assertTrue(second.startsWith("HTTP/1.1 " + status), second);
        if (status == 503) {
            assertEquals(1, received(0));
            String seconds = second.toLowerCase().split("retry-after: ")[1].split("\r\n")[0];
            assertTrue(Double.parseDouble(seconds) >= atLeastSeconds, second);
        }
        if (retryAfter.equals("1")) {
            Thread.sleep(1_100);
            assertTrue(edge.call("/read/x", "a3").startsWith("HTTP/1.1 200"));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {LEAVING, "Retry-After: 60\r\n"})
    void otherEndpointsServeMeanwhile(String header) throws IOException {
        edge.serve(3, (request, connection) -> connection.send(answer(request, "success", "")));
        EndpointRecord held = EdgeFixture.endpoint(
                "e3", edge.start((request, connection) -> connection.send(answer(request, "refusal", header))));
        edge.update(FleetUpdate.newBuilder().addEndpoints(held));
        for (int number = 0; number < 40; number++) {
            String request = EdgeFixture.get("/read/x", "a" + number)
                    .replace("Affinity-Key: 17", "Affinity-Key: " + number)
                    .replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
            assertTrue(edge.sendRaw(request).startsWith("HTTP/1.1 200"));
        }
        assertEquals(1, received(3));
    }
}
