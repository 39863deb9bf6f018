package org.bulrushwheel.server.gateway;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;

import org.bulrushwheel.client.HttpAnswer;
import org.bulrushwheel.server.edge.ScriptedEndpoint;
import org.bulrushwheel.server.edge.ScriptedEndpoint.Received;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Responses that a faulty endpoint sends to the gateway twice, in pieces or unasked, on a kept connection. */
@Timeout(60)
class GatewayResponseIdentityTest {
    private static final String REQUEST_ID = "Bulrushwheel-Request-Id";

    private final Set<Socket> used = ConcurrentHashMap.newKeySet();
    private GatewayFixture gateway;

    @BeforeEach
    void start() {
        gateway = new GatewayFixture();
    }

    @AfterEach
    void stop() {
        gateway.close();
    }

    private static String failure(Received request) {
        return ScriptedEndpoint.ok(request, "of 2").replace("200 OK", "500 Failed");
    }

    private static String withoutId(String response) {
        return response.replaceFirst(REQUEST_ID + ": [^\r]*\r\n", "");
    }

    /** Returns a response to the first request, in one of the ways in which faulty endpoints repeat it. */
    private static String repeated(String kind, Received first) {
        String ok = ScriptedEndpoint.ok(first, "of 1");
        String large = ok.replace("Length: 4", "Length: 200004") + "x".repeat(200_000);
        String refusal = ok.replace("200 OK", "503 Busy\r\nBulrushwheel-Run-State: not-run");
        return switch (kind) {
            case "earlier id" -> ok;
            case "no id" -> withoutId(ok);
            case "large, earlier id" -> large;
            case "large, no id" -> withoutId(large);
            case "refusal, earlier id" -> refusal;
            case "refusal, no id" -> withoutId(refusal);
            default -> throw new IllegalArgumentException(kind);
        };
    }

    /** Guards against a late second response to an earlier request that the next caller gets in place of its own. */
    @ParameterizedTest
    @CsvSource({
        "earlier id, '', '', other-request",
        "no id, '', '', unnamed",
        "earlier id, a1, a1, other-request",
        "earlier id, a1, a2, other-request",
        "'large, earlier id', '', '', other-request",
        "'large, no id', '', '', unnamed",
        "'refusal, earlier id', '', '', other-request",
        "'refusal, no id', '', '', unnamed"
    })
    void repeatedResponseIsNotTakenForThatOfTheNextRequest(
            String kind, String firstCallerId, String secondCallerId, String reason) throws IOException {
        ConcurrentHashMap<Socket, Received> firstRequests = new ConcurrentHashMap<>();
        try (ScriptedEndpoint upstream = new ScriptedEndpoint((request, connection) -> {
            Received first = firstRequests.putIfAbsent(connection.socket(), request);
            if (first != null) {
                connection.send(repeated(kind, first));
            }
            connection.send(
                    request.line().contains("/items/1") ? ScriptedEndpoint.ok(request, "of 1") : failure(request));
        })) {
            gateway.announce("raw", upstream);
            assertEquals(
                    "of 1",
                    gateway.awaitReceived(upstream, () -> get("/items/1", firstCallerId))
                            .text());
            HttpAnswer answer = get("/items/2", secondCallerId);
            assertEquals(500, answer.status(), answer.text());
            assertEquals("of 2", answer.text());
            assertEquals(1, gateway.counter("gateway.responses.dropped." + reason));
            assertEquals(1, gateway.counter("gateway.retries.dropped"));
        }
    }

    /** Guards against a piece of a second response that is joined with the response to the next request. */
    @ParameterizedTest
    @CsvSource({
        "HTTP/1.1 200 O, 0, false, 500",
        "HTTP/1.1 200 OK|, 0, false, 500",
        "HTTP/1.1 200 OK|X: , 0, false, 500",
        "HTTP/1.1 200 OK|Bul, 0, false, 500",
        "HTTP/1.1 200 OK|X: , 60, false, 500",
        "HTTP/1.1 200 O, 0, true, 500",
        "HTTP/1.1 200 OK|, 0, true, 502",
        "HTTP/1.1 200 OK|X: , 0, true, 500",
        "HTTP/1.1 200 OK|Bul, 0, true, 502"
    })
    void pieceOfARepeatedResponseIsNotJoinedWithTheNextResponse(
            String text, int pauseMillis, boolean atNextRequest, int expectedStatus) throws Exception {
        String piece = text.replace("|", "\r\n") + (text.endsWith(":") ? " " : "");
        try (ScriptedEndpoint upstream = new ScriptedEndpoint((request, connection) -> {
            boolean reused = !used.add(connection.socket());
            if (!request.line().contains("/items/1")) {
                connection.send((reused && atNextRequest ? piece : "") + failure(request));
            } else if (pauseMillis == 0) {
                connection.send(ScriptedEndpoint.ok(request, "of 1") + (atNextRequest ? "" : piece));
            } else {
                connection.send(ScriptedEndpoint.ok(request, "of 1"));
                Thread.sleep(pauseMillis / 2);
                connection.send(piece);
            }
        })) {
            gateway.announce("raw", upstream);
            assertEquals(
                    "of 1",
                    gateway.awaitReceived(upstream, () -> get("/items/1", "")).text());
            Thread.sleep(pauseMillis);
            HttpAnswer answer = get("/items/2", "");
            assertEquals(expectedStatus, answer.status(), answer.text());
            if (expectedStatus == 500) {
                assertEquals("of 2", answer.text());
            } else {
                assertRefused(answer, "upstream-failed", "unknown");
            }
        }
    }

    /** Guards against heads that run together, the second of which has a reason phrase that is not plain text. */
    @ParameterizedTest
    @ValueSource(strings = {"Failed", "\u00c3\u0085pen"})
    void headsOfTwoResponsesAreNotTakenForOne(String reasonPhrase) throws IOException {
        try (ScriptedEndpoint upstream = new ScriptedEndpoint((request, connection) -> {
            boolean reused = !used.add(connection.socket());
            String answer = request.line().contains("/items/1")
                    ? ScriptedEndpoint.ok(request, "of 1")
                    : failure(request).replace("Failed", reasonPhrase);
            connection.send((reused ? "HTTP/1.1 200 OK\r\nX: " : "") + answer);
        })) {
            gateway.announce("raw", upstream);
            assertEquals(
                    "of 1",
                    gateway.awaitReceived(upstream, () -> get("/items/1", "")).text());
            HttpAnswer answer = get("/items/2", "");
            assertEquals(500, answer.status(), answer.text());
            assertEquals("of 2", answer.text());
            assertEquals(1, gateway.counter("gateway.responses.dropped.joined"));
        }
    }

    /** Guards against a whole second response that arrives while the connection is kept. */
    @ParameterizedTest
    @ValueSource(ints = {0, 60})
    void unaskedResponseOnAKeptConnectionReachesNoCaller(int pauseMillis) throws Exception {
        try (ScriptedEndpoint upstream = new ScriptedEndpoint((request, connection) -> {
            if (!request.line().contains("/items/1")) {
                connection.send(failure(request));
                return;
            }
            String answer = ScriptedEndpoint.ok(request, "of 1");
            connection.send(pauseMillis == 0 ? answer + withoutId(answer) : answer);
            if (pauseMillis > 0) {
                Thread.sleep(pauseMillis / 2);
                connection.send(withoutId(answer));
            }
        })) {
            gateway.announce("raw", upstream);
            assertEquals(
                    "of 1",
                    gateway.awaitReceived(upstream, () -> get("/items/1", "")).text());
            Thread.sleep(pauseMillis);
            HttpAnswer answer = get("/items/2", "");
            assertEquals(500, answer.status(), answer.text());
            assertEquals("of 2", answer.text());
        }
    }

    /** Guards against the reuse of a connection whose responses cannot be told apart. */
    @ParameterizedTest
    @CsvSource({"true, 1", "false, 4"})
    void connectionIsKeptOnlyForAnEndpointThatNamesRequests(boolean namesRequests, int expectedConnections)
            throws IOException {
        try (ScriptedEndpoint upstream = new ScriptedEndpoint((request, connection) -> {
            used.add(connection.socket());
            String answer = ScriptedEndpoint.ok(request, "whole");
            connection.send(namesRequests ? answer : withoutId(answer));
        })) {
            gateway.announce("raw", upstream);
            assertEquals(
                    "whole",
                    gateway.awaitReceived(upstream, () -> get("/items/1", "")).text());
            for (int index = 0; index < 3; index++) {
                assertEquals("whole", get("/items/2", "").text());
            }
            assertEquals(4, upstream.received().size());
            assertEquals(expectedConnections, used.size());
        }
    }

    /** Guards against a response that names another request and reaches a caller although the connection is new. */
    @Test
    void responseThatNamesAnotherRequestIsNotDeliveredOnANewConnection() throws IOException {
        String answer = "HTTP/1.1 200 OK\r\n" + REQUEST_ID + ": other\r\nContent-Length: 5\r\n\r\nother";
        try (ScriptedEndpoint upstream = new ScriptedEndpoint((request, connection) -> connection.send(answer))) {
            gateway.announce("raw", upstream);
            HttpAnswer read = gateway.awaitReceived(upstream, () -> get("/items/1", ""));
            assertRefused(read, "upstream-failed", "unknown");
            HttpAnswer refund = gateway.call("POST", "/refunds", Map.of("Idempotency-Key", "k1"), new byte[] {1});
            assertRefused(refund, "upstream-failed", "unknown");
            assertEquals(
                    1,
                    upstream.received().stream()
                            .filter(request -> request.line().startsWith("POST"))
                            .count());
        }
    }

    /** Guards against a request that is refused as one that crashes endpoints, since its responses were dropped. */
    @ParameterizedTest
    @CsvSource({"'Id: ', 'Id: x'", "HTTP/1.1 200, HTTP/1.1 000", "Content-Length:, Content Length:"})
    void requestWhoseResponsesAreDroppedIsNotTakenForOneThatCrashesEndpoints(String part, String replacement)
            throws IOException {
        AtomicBoolean faulty = new AtomicBoolean(true);
        ScriptedEndpoint.Script script = (request, connection) -> {
            String answer = ScriptedEndpoint.ok(request, "whole");
            connection.send(faulty.get() ? answer.replace(part, replacement) : answer);
        };
        try (ScriptedEndpoint first = new ScriptedEndpoint(script);
                ScriptedEndpoint second = new ScriptedEndpoint(script)) {
            gateway.announce("first", first);
            gateway.announce("second", second);
            gateway.awaitReceived(first, () -> get("/items/1", ""));
            gateway.awaitReceived(second, () -> get("/items/1", ""));
            faulty.set(false);
            HttpAnswer answer = get("/items/1", "");
            assertEquals(200, answer.status(), answer.text());
            assertEquals("whole", answer.text());
        }
    }

    /** Guards against ids of attempts that are not unique, or that callers get to see. */
    @ParameterizedTest
    @ValueSource(strings = {"", "a1"})
    void eachAttemptHasItsOwnIdAndTheCallerGetsBackItsOwn(String callerId) throws IOException {
        try (ScriptedEndpoint upstream =
                new ScriptedEndpoint((request, connection) -> connection.send(ScriptedEndpoint.ok(request, "whole")))) {
            gateway.announce("raw", upstream);
            gateway.awaitReceived(upstream, () -> get("/items/1", callerId));
            for (int index = 0; index < 3; index++) {
                HttpAnswer answer = get("/items/2", callerId);
                assertEquals(callerId, answer.header(REQUEST_ID).orElse(""));
            }
            Set<String> sent = upstream.received().stream()
                    .map(request -> request.header(REQUEST_ID))
                    .collect(Collectors.toSet());
            assertEquals(4, sent.size());
            assertTrue(sent.stream().allMatch(id -> id.length() > callerId.length() && id.startsWith(callerId)));
        }
    }

    /** Guards against a replayed answer that names the request of the first caller instead of the resent one. */
    @Test
    void replayedAnswerNamesTheResentRequest() throws IOException {
        try (ScriptedEndpoint upstream =
                new ScriptedEndpoint((request, connection) -> connection.send(ScriptedEndpoint.ok(request, "whole")))) {
            gateway.announce("raw", upstream);
            gateway.awaitReceived(upstream, () -> get("/items/1", ""));
            for (String callerId : List.of("a1", "a2")) {
                HttpAnswer answer = gateway.call(
                        "POST", "/refunds", Map.of("Idempotency-Key", "k1", REQUEST_ID, callerId), new byte[] {1});
                assertEquals("whole", answer.text());
                assertEquals(callerId, answer.header(REQUEST_ID).orElse(""));
            }
            HttpAnswer unnamed = gateway.call("POST", "/refunds", Map.of("Idempotency-Key", "k1"), new byte[] {1});
            assertEquals("whole", unnamed.text());
            assertFalse(unnamed.header(REQUEST_ID).isPresent());
        }
    }

    /** Guards against an informational response that is taken for the final one. */
    @ParameterizedTest
    @ValueSource(ints = {100, 102, 103})
    void informationalResponseIsNotTheFinalOne(int status) throws IOException {
        try (ScriptedEndpoint upstream = new ScriptedEndpoint((request, connection) -> {
            connection.send("HTTP/1.1 " + status + " Wait\r\n\r\n");
            connection.send(failure(request));
        })) {
            gateway.announce("raw", upstream);
            HttpAnswer answer = gateway.awaitReceived(upstream, () -> get("/items/1", ""));
            assertNotEquals(status, answer.status());
            assertTrue(
                    answer.text().equals("of 2")
                            || answer.header("Bulrushwheel-Run-State")
                                    .orElse("")
                                    .equals("unknown"),
                    answer.status() + " " + answer.text());
        }
    }

    private HttpAnswer get(String path, String callerId) {
        Map<String, String> headers = callerId.isEmpty() ? Map.of() : Map.of(REQUEST_ID, callerId);
        return gateway.call("GET", path, headers, new byte[0]);
    }

    private static void assertRefused(HttpAnswer answer, String reason, String runState) {
        assertEquals(reason, answer.header("Bulrushwheel-Refusal").orElse("none, status " + answer.status()));
        assertEquals(runState, answer.header("Bulrushwheel-Run-State").orElse(""));
    }
}
