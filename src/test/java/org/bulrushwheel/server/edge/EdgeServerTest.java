package org.bulrushwheel.server.edge;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.bulrushwheel.model.decision.DecisionKind;
import org.bulrushwheel.model.proto.EndpointRecord;
import org.bulrushwheel.model.proto.FleetUpdate;
import org.bulrushwheel.model.proto.ZoneEvacuation;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

@Timeout(30)
class EdgeServerTest {
    private final EdgeFixture edge = new EdgeFixture();

    @AfterEach
    void close() {
        edge.close();
    }

    @Test
    void forwardedRequestHasItsIdExpectedEndpointAndRemainingTimeout() throws IOException {
        edge.serve(1, (request, connection) -> connection.send(ScriptedEndpoint.ok(request, "whole")));
        String answer =
                edge.sendRaw("POST /file/x?y=%20z HTTP/1.1\r\nHost: host.example\r\nBulrushwheel-Request-Id: a1\r\n"
                        + "Bulrushwheel-Timeout-Millis: 1200\r\nX-Other: kept\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
        ScriptedEndpoint.Received forwarded = edge.endpoints().get(0).received().get(0);
        assertTrue(answer.startsWith("HTTP/1.1 200 OK"), answer);
        assertTrue(answer.endsWith("whole"), answer);
        assertEquals("POST /file/x?y=%20z HTTP/1.1", forwarded.line());
        assertEquals("abc", forwarded.body());
        assertEquals("a1", forwarded.header("Bulrushwheel-Request-Id"));
        assertEquals("e0", forwarded.header("Bulrushwheel-Expected-Endpoint"));
        assertEquals("kept", forwarded.header("X-Other"));
        assertEquals("", forwarded.header("X-Hop"));
        assertTrue(Long.parseLong(forwarded.header("Bulrushwheel-Timeout-Millis")) <= 1_200);
    }

    @Test
    void withoutConfigurationRequestIsRefusedWithRetryAfter() throws IOException {
        String answer = edge.call("/read/x", "a1");
        assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
        assertTrue(answer.toLowerCase().contains("retry-after"), answer);
    }

    @Test
    void unknownRouteIsNotFound() throws IOException {
        edge.serve(1, (request, connection) -> connection.send(ScriptedEndpoint.ok(request, "x")));
        assertTrue(edge.call("/nowhere/x", "a1").startsWith("HTTP/1.1 404"));
        assertEquals(0, edge.totalReceived());
    }

    @ParameterizedTest
    @CsvSource({"/read/x, 200, 2", "/file/x, 502, 1"})
    void truncatedAnswerIsRetriedOnlyOnRepeatableRoute(String path, String status, int runs) throws IOException {
        AtomicInteger count = new AtomicInteger();
        edge.serve(2, (request, connection) -> {
            if (count.getAndIncrement() == 0) {
                connection.send("HTTP/1.1 200 OK\r\nBulrushwheel-Request-Id: "
                        + request.header("Bulrushwheel-Request-Id") + "\r\nContent-Length: 10\r\n\r\nhalf");
                connection.socket().close();
            } else {
                connection.send(ScriptedEndpoint.ok(request, "whole"));
            }
        });
        String answer = edge.call(path, "a1");
        assertTrue(answer.startsWith("HTTP/1.1 " + status), answer);
        assertFalse(answer.contains("half"), answer);
        assertEquals(runs, edge.totalReceived());
    }

    @Test
    void answerWithoutLengthThatEndsWithResetIsIncomplete() throws IOException {
        edge.serve(1, (request, connection) -> {
            connection.send("HTTP/1.1 200 OK\r\nBulrushwheel-Request-Id: a1\r\n\r\nhalf");
            Thread.sleep(50);
            connection.reset();
        });
        assertTrue(edge.call("/file/x", "a1").startsWith("HTTP/1.1 502"));
    }

    @Test
    void answerWithoutLengthEndsWithItsConnection() throws IOException {
        edge.serve(1, (request, connection) -> {
            connection.send("HTTP/1.1 200 OK\r\nBulrushwheel-Request-Id: a1\r\n\r\nall of it");
            connection.socket().close();
        });
        String answer = edge.call("/read/x", "a1");
        assertTrue(answer.endsWith("all of it"), answer);
        assertTrue(answer.toLowerCase().contains("content-length: 9"), answer);
    }

    @ParameterizedTest
    @ValueSource(strings = {"/read/x", "/file/x"})
    void notExecutedRequestIsSentToAnotherEndpoint(String path) throws IOException {
        AtomicInteger count = new AtomicInteger();
        edge.serve(
                2,
                (request, connection) -> connection.send(
                        count.getAndIncrement() == 0
                                ? ScriptedEndpoint.notExecuted(request)
                                : ScriptedEndpoint.ok(request, "whole")));
        assertTrue(edge.call(path, "a1").startsWith("HTTP/1.1 200"));
        assertEquals(2, edge.totalReceived());
    }

    @Test
    void requestThatNoEndpointRanIsRefusedWithRetryAfter() throws IOException {
        edge.serve(3, (request, connection) -> connection.send(ScriptedEndpoint.notExecuted(request)));
        String answer = edge.call("/file/x", "a1");
        assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
        assertTrue(answer.toLowerCase().contains("retry-after"), answer);
        assertEquals(2, edge.totalReceived(), "the route allows two attempts");
    }

    /** Guards against a refusal, which promises that a request has not run, after an attempt that may have run. */
    @ParameterizedTest
    @CsvSource({"/read/x, 2, attempts-spent", "/file/x, 1, broken"})
    void requestThatMayHaveRunIsNeverReportedAsNotRun(String path, int expectedReceived, String expectedReason)
            throws IOException {
        AtomicInteger count = new AtomicInteger();
        edge.serve(2, (request, connection) -> {
            if (count.getAndIncrement() == 0) {
                connection.reset();
            } else {
                connection.send(ScriptedEndpoint.notExecuted(request));
            }
        });
        String answer = edge.callPatiently(path, "a1");
        assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
        assertEquals(expectedReceived, edge.totalReceived());
        // Not the deadline.
        assertEquals(List.of(expectedReason), edge.reasonsOf(DecisionKind.FAILED));
    }

    @Test
    void lateAnswerToEarlierRequestIsNotDeliveredToNextRequest() throws IOException {
        edge.serve(1, (request, connection) -> {
            String answer = ScriptedEndpoint.ok(request, "of " + request.header("Bulrushwheel-Request-Id"));
            if (request.header("Bulrushwheel-Request-Id").equals("a2")) {
                connection.send("HTTP/1.1 200 OK\r\nBulrushwheel-Request-Id: a1\r\nContent-Length: 5\r\n\r\nof a1");
            }
            connection.send(answer);
        });
        assertTrue(edge.call("/file/x", "a1").endsWith("of a1"));
        assertTrue(edge.call("/file/x", "a2").endsWith("of a2"));
    }

    @Test
    void answersToPipelinedRequestsAreSentInRequestOrder() throws IOException {
        CountDownLatch second = new CountDownLatch(1);
        edge.serve(2, (request, connection) -> {
            String id = request.header("Bulrushwheel-Request-Id");
            if (id.equals("a1")) {
                // Answered only after the second request, which shows that both are processed concurrently.
                second.await(5, TimeUnit.SECONDS);
            }
            connection.send(ScriptedEndpoint.ok(request, "[" + id + "]"));
            second.countDown();
        });
        String answers = edge.sendRaw(EdgeFixture.get("/read/x", "a1")
                + EdgeFixture.get("/read/x", "a2")
                + EdgeFixture.get("/read/x", "a3").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
        assertTrue(answers.indexOf("[a1]") > 0, answers);
        assertTrue(answers.indexOf("[a1]") < answers.indexOf("[a2]"), answers);
        assertTrue(answers.indexOf("[a2]") < answers.indexOf("[a3]"), answers);
    }

    @Test
    void onceRequestWaitsForPrecedingPipelinedRequests() throws IOException {
        edge.serve(2, (request, connection) -> connection.send(ScriptedEndpoint.ok(request, "x")));
        edge.sendRaw(EdgeFixture.get("/read/x", "a1").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n")
                + EdgeFixture.get("/file/x", "a2"));
        assertEquals(1, edge.totalReceived(), "a request after Connection: close was run");
    }

    @Test
    void endpointConnectionIsClosedWhenCallerDisconnects() throws Exception {
        CompletableFuture<Boolean> ended = new CompletableFuture<>();
        CountDownLatch requestArrived = new CountDownLatch(1);
        edge.serve(1, (request, connection) -> {
            requestArrived.countDown();
            ended.complete(connection.isClosedWithin(1_000));
        });
        try (Socket caller = edge.connect()) {
            caller.getOutputStream().write(EdgeFixture.get("/read/x", "a1").getBytes(StandardCharsets.ISO_8859_1));
            assertTrue(requestArrived.await(5, TimeUnit.SECONDS));
        }
        assertTrue(ended.get(5, TimeUnit.SECONDS));
    }

    @Test
    void requestWithoutAnswerTimesOutAtDeadline() throws IOException {
        edge.serve(1, (request, connection) -> Thread.sleep(5_000));
        assertTrue(edge.call("/read/x", "a1").startsWith("HTTP/1.1 504"));
    }

    @ParameterizedTest
    @CsvSource({
        "'GET /read/x HTTP/1.1\r\nHost: host.example\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n', 400",
        "'GET /read/x HTTP/1.1\r\nHost: host.example\r\nHost: other.example\r\n\r\n', 400",
        "'GET /read/x HTTP/1.1\r\n\r\n', 400",
        "'NONSENSE\r\n\r\n', 400"
    })
    void ambiguousRequestReachesNoEndpoint(String bytes, String status) throws IOException {
        edge.serve(1, (request, connection) -> connection.send(ScriptedEndpoint.ok(request, "x")));
        String answer = edge.sendRaw(bytes);
        assertTrue(answer.startsWith("HTTP/1.1 " + status), answer);
        assertEquals(0, edge.totalReceived());
    }

    @Test
    void oversizedHeadersAndBodiesAreRejected() throws IOException {
        edge.serve(1, (request, connection) -> connection.send(ScriptedEndpoint.ok(request, "x")));
        String head = "GET /read/x HTTP/1.1\r\nHost: host.example\r\nX-Long: " + "a".repeat(20_000) + "\r\n\r\n";
        assertTrue(edge.sendRaw(head).startsWith("HTTP/1.1 431"));
        String body = "POST /file/x HTTP/1.1\r\nHost: host.example\r\nContent-Length: 1001\r\n\r\n" + "a".repeat(1_001);
        assertTrue(edge.sendRaw(body).startsWith("HTTP/1.1 413"));
        assertEquals(0, edge.totalReceived());
    }

    @Test
    void drainingOrEvacuatedEndpointGetsNoRequests() throws IOException {
        edge.serve(2, (request, connection) -> connection.send(ScriptedEndpoint.ok(request, "x")));
        edge.update(FleetUpdate.newBuilder()
                .addEndpoints(EdgeFixture.endpoint("e0", edge.endpoints().get(0)).toBuilder()
                        .setState(EndpointRecord.State.DRAINING)));
        for (int index = 0; index < 10; index++) {
            assertTrue(edge.call("/read/x" + index, "a" + index).startsWith("HTTP/1.1 200"));
        }
        assertEquals(0, edge.endpoints().get(0).received().size());
        edge.update(FleetUpdate.newBuilder()
                .addEvacuations(ZoneEvacuation.newBuilder().setZone("z").setActive(true)));
        assertTrue(edge.call("/read/x", "b1").startsWith("HTTP/1.1 503"));
        assertEquals(10, edge.totalReceived());
    }

    /** Guards against requests that reach an endpoint when a partition ends, seconds after they were given up. */
    @ParameterizedTest
    @ValueSource(strings = {"/read/x", "/file/x"})
    void connectionOfARequestThatIsGivenUpIsReset(String path) throws Exception {
        CompletableFuture<Boolean> isReset = new CompletableFuture<>();
        edge.serve(1, (request, connection) -> {
            try {
                isReset.complete(connection.socket().getInputStream().read() >= 0);
            } catch (IOException e) {
                isReset.complete(true);
            }
        });
        assertTrue(edge.call(path, "a1").startsWith("HTTP/1.1 504"));
        assertTrue(isReset.get(5, TimeUnit.SECONDS), "the connection was closed, not reset");
    }

    /** Guards against requests that go to the former address of an endpoint that has started again at another one. */
    @ParameterizedTest
    @ValueSource(strings = {"/read/x", "/file/x"})
    void endpointThatStartsAgainAtAnotherAddressGetsItsRequestsThere(String path) throws IOException {
        edge.serve(1, (request, connection) -> connection.send(ScriptedEndpoint.ok(request, "former")));
        assertTrue(edge.call(path, "a1").endsWith("former"));
        ScriptedEndpoint restarted =
                edge.start((request, connection) -> connection.send(ScriptedEndpoint.ok(request, "restarted")));
        edge.update(FleetUpdate.newBuilder()
                .addEndpoints(EdgeFixture.endpoint("e0", restarted).toBuilder().setBornEpochMillis(2)));
        assertTrue(edge.call(path, "a2").endsWith("restarted"));
        assertEquals(1, edge.endpoints().get(0).received().size());
    }

    @Test
    void drainCompletesRequestInFlight() throws Exception {
        CountDownLatch requestArrived = new CountDownLatch(1);
        edge.serve(1, (request, connection) -> {
            requestArrived.countDown();
            Thread.sleep(700);
            connection.send(ScriptedEndpoint.ok(request, "whole"));
        });
        try (Socket caller = edge.connect()) {
            caller.getOutputStream().write(EdgeFixture.get("/file/x", "a1").getBytes(StandardCharsets.ISO_8859_1));
            assertTrue(requestArrived.await(5, TimeUnit.SECONDS));
            edge.server().drain(System.nanoTime() + TimeUnit.SECONDS.toNanos(10));
            edge.server().stop();
            String answer = EdgeFixture.readAll(caller.getInputStream());
            assertTrue(answer.endsWith("whole"), answer);
            assertTrue(answer.toLowerCase().contains("connection: close"), answer);
        }
    }

    private static final String POST_HEAD =
            "POST /file/x HTTP/1.1\r\nHost: host.example\r\nBulrushwheel-Request-Id: a1\r\n"
                    + "Bulrushwheel-Timeout-Millis: 5000\r\nContent-Length: 3\r\n\r\n";

    /** Times are in milliseconds since the start of the stop; negative ones are before it. */
    @ParameterizedTest
    @CsvSource({"-50, 0, 600", "2000, 0, 2700", "-50, 20, 2600", "-50, 1000, 2800"})
    void stopAnswersRequestOnItsWayOnAcceptedConnection(long connectAt, int bytesSentAtOnce, long restSentAt)
            throws Exception {
        edge.serve(1, (request, connection) -> connection.send(ScriptedEndpoint.ok(request, "whole")));
        byte[] request = (POST_HEAD + "abc").getBytes(StandardCharsets.ISO_8859_1);
        int firstPart = Math.min(bytesSentAtOnce, request.length - 2);
        long stopNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Math.max(0, -connectAt));
        CompletableFuture<Void> stopped = CompletableFuture.runAsync(() -> {
            sleepUntil(stopNanos);
            edge.server().drain(System.nanoTime() + TimeUnit.SECONDS.toNanos(10));
            edge.server().stop();
        });
        sleepUntil(stopNanos + TimeUnit.MILLISECONDS.toNanos(connectAt));
        try (Socket caller = edge.connect()) {
            caller.getOutputStream().write(request, 0, firstPart);
            sleepUntil(stopNanos + TimeUnit.MILLISECONDS.toNanos(restSentAt));
            assertFalse(stopped.isDone(), "the stop did not wait for an accepted connection");
            caller.getOutputStream().write(request, firstPart, request.length - firstPart);
            String answer = EdgeFixture.readAll(caller.getInputStream());
            assertTrue(answer.endsWith("whole"), answer);
            assertTrue(answer.toLowerCase().contains("connection: close"), answer);
            stopped.get(10, TimeUnit.SECONDS);
        }
    }

    private static void sleepUntil(long targetNanos) {
        try {
            TimeUnit.NANOSECONDS.sleep(Math.max(0, targetNanos - System.nanoTime()));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void headersThatNeverEndAreRejectedAfterTheHeaderTimeout() throws IOException {
        edge.serve(1, (request, connection) -> connection.send(ScriptedEndpoint.ok(request, "x")));
        assertTrue(edge.sendRaw("GET /read/x HTTP/1.1\r\nHost: host.exa").startsWith("HTTP/1.1 408"));
        assertEquals(0, edge.totalReceived());
    }

    @Test
    void emptyLineBetweenRequestsIsNotTakenForTheBeginningOfHeaders() throws Exception {
        edge.serve(1, (request, connection) -> connection.send(ScriptedEndpoint.ok(request, "whole")));
        try (Socket caller = edge.connect()) {
            caller.getOutputStream().write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            // Longer than the header timeout.
            Thread.sleep(4_000);
            String request = EdgeFixture.get("/read/x", "a1").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
            caller.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            String answer = EdgeFixture.readAll(caller.getInputStream());
            assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"NONSENSE\r\n\r\n", "GET /read/x HTTP/1.1\r\n\r\n"})
    void malformedRequestIsRejectedAfterTheAnswersToThePrecedingOnes(String malformed) throws IOException {
        edge.serve(1, (request, connection) -> {
            Thread.sleep(200);
            connection.send(ScriptedEndpoint.ok(request, "[" + request.header("Bulrushwheel-Request-Id") + "]"));
        });
        String answers = edge.sendRaw(EdgeFixture.get("/read/x", "a1") + EdgeFixture.get("/read/x", "a2") + malformed);
        assertTrue(answers.contains("[a1]") && answers.contains("[a2]"), answers);
        assertTrue(answers.indexOf("[a2]") < answers.indexOf("HTTP/1.1 400"), answers);
    }

    @Test
    void stopEndsSoonWhileCallersKeepIdleConnections() throws Exception {
        edge.serve(1, (request, connection) -> connection.send(ScriptedEndpoint.ok(request, "whole")));
        try (Socket caller = edge.connect()) {
            edge.call("/read/other", "b1");
            edge.server().drain(System.nanoTime() + TimeUnit.SECONDS.toNanos(20));
            assertEquals(-1, caller.getInputStream().read());
        }
    }

    private static String garbled(ScriptedEndpoint.Received request) {
        return "HTTP/1.1 200 OK\r\nBulrushwheel-Request-Id: " + request.header("Bulrushwheel-Request-Id")
                + "\r\nContent-Length: 10\r\n\r\nhalf";
    }

    @Test
    void requestWithBrokenAnswersIsNotTakenForOneThatCrashesEndpoints() throws IOException {
        AtomicInteger count = new AtomicInteger();
        edge.serve(2, (request, connection) -> {
            if (count.getAndIncrement() < 2) {
                connection.send(garbled(request));
                connection.socket().close();
            } else {
                connection.send(ScriptedEndpoint.ok(request, "whole"));
            }
        });
        assertTrue(edge.call("/read/x", "a1").startsWith("HTTP/1.1 502"));
        assertTrue(edge.call("/read/x", "a2").endsWith("whole"));
    }

    @Test
    void requestThatMeetsForgottenConnectionIsRetriedOnNewOne() throws IOException {
        Set<Socket> used = ConcurrentHashMap.newKeySet();
        AtomicInteger count = new AtomicInteger();
        edge.serve(2, (request, connection) -> {
            if (!used.add(connection.socket())) {
                connection.reset();
            } else if (count.getAndIncrement() == 0) {
                connection.send(ScriptedEndpoint.notExecuted(request));
            } else {
                connection.send(ScriptedEndpoint.ok(request, "whole"));
            }
        });
        // Leaves an idle connection to each endpoint.
        assertTrue(edge.call("/read/x", "a1").endsWith("whole"));
        assertTrue(edge.call("/read/x", "a2").endsWith("whole"));
    }

    /** The configuration allows 100 connections to an endpoint, shared by all entry instances. */
    @ParameterizedTest
    @CsvSource({"1, 6", "50, 2", "100, 1", "6700, 1"})
    void idleConnectionsStayWithinTheShareOfThisInstance(int entryInstances, int expected) throws Exception {
        CountDownLatch allArrived = new CountDownLatch(6);
        edge.serve(1, (request, connection) -> {
            allArrived.countDown();
            allArrived.await(5, TimeUnit.SECONDS);
            connection.send(ScriptedEndpoint.ok(request, "x"));
        });
        edge.update(FleetUpdate.newBuilder().setEntryInstances(entryInstances));
        List<CompletableFuture<Void>> callers = new ArrayList<>();
        for (int index = 0; index < 6; index++) {
            String id = "a" + index;
            callers.add(CompletableFuture.runAsync(() -> {
                try {
                    edge.call("/read/x" + id, id);
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            }));
        }
        for (CompletableFuture<Void> caller : callers) {
            caller.get(10, TimeUnit.SECONDS);
        }
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(2);
        while (edge.endpoints().get(0).openConnections() != expected && System.nanoTime() - deadlineNanos < 0) {
            Thread.sleep(10);
        }
        assertEquals(expected, edge.endpoints().get(0).openConnections());
    }

    /**
     * Guards against callers' connections that are closed because of an endpoint whose record cannot be used; control
     * instances of earlier builds have accepted such records.
     */
    @ParameterizedTest
    @ValueSource(strings = {"127.0.0.1:80800", "127.0.0.1", "127.0.0.1:x", ":80", ""})
    void endpointWithUnusableAddressGetsNoRequests(String address) throws IOException {
        ScriptedEndpoint sound =
                edge.start((request, connection) -> connection.send(ScriptedEndpoint.ok(request, "whole")));
        EndpointRecord usable = EdgeFixture.endpoint("e0", sound);
        edge.configure(List.of(
                usable, usable.toBuilder().setId("stray").setAddress(address).build()));
        for (int index = 0; index < 20; index++) {
            String requests = EdgeFixture.get("/read/" + index, "a" + index).replace("17", "k" + index)
                    + EdgeFixture.get("/read/x", "b" + index).replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
            assertEquals(2, edge.sendRaw(requests).split("HTTP/1.1 200", -1).length - 1);
        }
    }

    /** Guards against requests that are read on connections that never run empty, and cut when the process ends. */
    @ParameterizedTest
    @CsvSource({"240, 5, 100", "300, 1, 100", "300, 40000, 100", "3200, 40000, 2600"})
    void drainEndsConnectionsThatNeverRunEmpty(long answerMillis, int answerBytes, long sendEveryMillis)
            throws Exception {
        edge.serve(8, (request, connection) -> {
            String answer = ScriptedEndpoint.ok(request, "x".repeat(answerBytes));
            int lastBytes = (answerBytes + 1) / 2;
            connection.send(answer.substring(0, answer.length() - lastBytes));
            Thread.sleep(answerMillis);
            connection.send(answer.substring(answer.length() - lastBytes));
        });
        // The answers that take 3.2 s may not last longer than their route allows.
        edge.update(EdgeFixture.traffic(
                2, EdgeFixture.TRAFFIC.replace("\"timeoutMillis\": 1500", "\"timeoutMillis\": 5000")));
        AtomicInteger sent = new AtomicInteger();
        long lastSendNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(7);
        try (Socket caller = edge.connect()) {
            Thread sender = new Thread(() -> {
                try {
                    while (System.nanoTime() - lastSendNanos < 0) {
                        String request = EdgeFixture.get("/read/x", "a" + sent.getAndIncrement());
                        caller.getOutputStream()
                                .write(request.replace("1200", "9000").getBytes(StandardCharsets.ISO_8859_1));
                        Thread.sleep(sendEveryMillis);
                    }
                } catch (IOException e) {
                    // The instance has closed the connection.
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            sender.start();
            Thread.sleep(200);
            long startedNanos = System.nanoTime();
            CompletableFuture<Void> drained = CompletableFuture.runAsync(
                    () -> edge.server().drain(startedNanos + TimeUnit.MILLISECONDS.toNanos(5_600)));
            String answers = EdgeFixture.readAll(caller.getInputStream());
            drained.get(10, TimeUnit.SECONDS);
            long drainMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
            sender.interrupt();
            sender.join();
            int whole = answers.split("x{" + answerBytes + "}", -1).length - 1;
            assertTrue(edge.totalReceived() < sent.get(), "the caller sent requests until the end");
            assertEquals(edge.totalReceived(), whole, "every request that an endpoint received is answered");
            assertTrue(drainMillis < 5_600, "took " + drainMillis + " ms");
        }
    }

    /**
     * Guards against a refusal that a faulty endpoint repeats on a kept connection: the next request there runs, and
     * must neither be reported as not run nor be sent to another endpoint.
     */
    @ParameterizedTest
    @CsvSource({
        "/file/x, 503, a1, 200",
        "/file/x, 503, '', 502",
        "/file/x, 421, a1, 200",
        "/file/x, 421, '', 502",
        "/read/x, 503, a1, 200",
        "/read/x, 503, '', 502"
    })
    void repeatedRefusalIsNotTakenForThatOfTheNextRequest(
            String path, int refusalStatus, String refusalId, int expectedStatus) throws IOException {
        String refusal = "HTTP/1.1 " + refusalStatus + " Refused\r\nBulrushwheel-Not-Executed: 1\r\n"
                + (refusalId.isEmpty() ? "" : "Bulrushwheel-Request-Id: " + refusalId + "\r\n")
                + "Content-Length: 0\r\n\r\n";
        edge.serve(1, (request, connection) -> {
            if (request.header("Bulrushwheel-Request-Id").equals("a1")) {
                connection.send(ScriptedEndpoint.notExecuted(request));
            } else {
                connection.send(refusal);
                Thread.sleep(50);
                connection.send(ScriptedEndpoint.ok(request, "whole"));
            }
        });
        assertTrue(edge.call(path, "a1").startsWith("HTTP/1.1 503"));
        // On the kept connection, where the endpoint would have to be asked again.
        String answer = edge.call(path, "a2");
        assertTrue(answer.startsWith("HTTP/1.1 " + expectedStatus), answer);
        assertEquals(2, edge.totalReceived());
    }

    /** Guards against an answer that breaks off in its head and reaches the caller as whole, with an empty body. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 5\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r",
                "X-Other: 1\r\n\r"
            })
    void answerThatEndsInItsHeadIsNotWhole(String rest) throws IOException {
        String bytes = "HTTP/1.1 200 OK\r\nBulrushwheel-Request-Id: a1\r\n" + rest;
        AtomicInteger length = new AtomicInteger();
        edge.serve(1, (request, connection) -> {
            connection.send(bytes.substring(0, length.get()));
            connection.socket().close();
        });
        for (length.set(1); length.get() <= bytes.length(); length.incrementAndGet()) {
            String answer = edge.call("/file/" + length.get(), "a1");
            assertTrue(answer.startsWith("HTTP/1.1 502"), length.get() + " bytes: " + answer);
        }
    }
}
