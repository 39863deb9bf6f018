package org.bulrushwheel.server.edge;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.bulrushwheel.model.decision.DecisionField;
import org.bulrushwheel.model.decision.DecisionKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Answers that are passed on to the caller while they arrive. */
@Timeout(30)
class LargeAnswerTest {
    private static final String HALF = "a".repeat(50_000);
    private static final long ROUTE_TIMEOUT_MILLIS = 1_500;
    // A request may be unanswered for this long after the time of its route.
    private static final long MAX_HELD_MILLIS = 500;

    private final EdgeFixture edge = new EdgeFixture();
    private ScriptedEndpoint endpoint;

    @AfterEach
    void close() throws IOException {
        edge.close();
        endpoint.close();
    }

    private void serve(ScriptedEndpoint.Script script) throws IOException {
        endpoint = new ScriptedEndpoint(script);
        edge.configure(List.of(EdgeFixture.endpoint("e0", endpoint)));
    }

    private static String head(ScriptedEndpoint.Received request, String framing) {
        return "HTTP/1.1 200 OK\r\nBulrushwheel-Request-Id: " + request.header("Bulrushwheel-Request-Id") + "\r\n"
                + framing + "\r\n\r\n";
    }

    /** Reads until so many bytes of the body have arrived. */
    private static void awaitBytes(InputStream input, int count) throws IOException {
        int read = 0;
        while (read < count) {
            int next = input.read(new byte[8_192]);
            assertTrue(next > 0, "the answer ended after " + read + " bytes");
            read += next;
        }
    }

    @ParameterizedTest
    @CsvSource({"Content-Length: 100000, ''", "Transfer-Encoding: chunked, c350"})
    void firstHalfReachesTheCallerBeforeTheEndpointHasSentTheSecond(String framing, String chunkSize) throws Exception {
        CountDownLatch halfArrived = new CountDownLatch(1);
        String chunkStart = chunkSize.isEmpty() ? "" : chunkSize + "\r\n";
        String chunkEnd = chunkSize.isEmpty() ? "" : "\r\n";
        serve((request, connection) -> {
            connection.send(head(request, framing) + chunkStart + HALF + chunkEnd);
            assertTrue(halfArrived.await(5, TimeUnit.SECONDS));
            connection.send(chunkStart + HALF + chunkEnd + (chunkSize.isEmpty() ? "" : "0\r\n\r\n"));
        });
        try (Socket caller = edge.connect()) {
            caller.getOutputStream().write(EdgeFixture.get("/read/x", "a1").getBytes(StandardCharsets.ISO_8859_1));
            awaitBytes(caller.getInputStream(), 50_000);
            halfArrived.countDown();
            awaitBytes(caller.getInputStream(), 50_000);
            // The connection carries on.
            caller.getOutputStream().write(EdgeFixture.get("/read/x", "a2").getBytes(StandardCharsets.ISO_8859_1));
            awaitBytes(caller.getInputStream(), 100_000);
        }
        assertEquals(2, endpoint.received().size());
    }

    /** The endpoint ends its connection, resets it, sends nothing more, or goes on with bytes that are no chunk. */
    @ParameterizedTest
    @CsvSource({
        "Content-Length: 100000, close",
        "Content-Length: 100000, reset",
        "Content-Length: 100000, stall",
        "Transfer-Encoding: chunked, close",
        "Transfer-Encoding: chunked, reset",
        "Transfer-Encoding: chunked, stall",
        "Transfer-Encoding: chunked, nonsense",
        "X-No: length, reset",
        "X-No: length, stall"
    })
    void brokenAnswerNeverLooksWholeAndNoOtherFollowsOnItsConnection(String framing, String end) throws IOException {
        boolean chunked = framing.contains("chunked");
        serve((request, connection) -> {
            connection.send(head(request, framing) + (chunked ? "c350\r\n" + HALF + "\r\n" : HALF));
            Thread.sleep(100);
            switch (end) {
                case "close" -> connection.socket().close();
                case "reset" -> connection.reset();
                case "nonsense" -> connection.send("no chunk\r\n" + HALF);
                default -> Thread.sleep(5_000);
            }
        });
        String bytes;
        boolean wasReset = false;
        try (Socket caller = edge.connect()) {
            caller.getOutputStream()
                    .write((EdgeFixture.get("/read/x", "a1") + EdgeFixture.get("/read/x", "a2"))
                            .getBytes(StandardCharsets.ISO_8859_1));
            bytes = EdgeFixture.readAll(caller.getInputStream());
        } catch (SocketTimeoutException e) {
            throw e;
        } catch (IOException e) {
            // A reset shows the caller as well that the answer is not whole.
            bytes = "";
            wasReset = true;
        }
        boolean looksWhole = framing.startsWith("Content-Length")
                ? bytes.length() >= 100_000
                : chunked ? bytes.endsWith("0\r\n\r\n") : bytes.toLowerCase().contains("connection: close");
        assertFalse(looksWhole, "an answer that was broken off looks whole");
        assertEquals(wasReset ? -1 : 0, bytes.lastIndexOf("HTTP/1.1 "), "another answer followed");
    }

    // Guards against a caller left waiting: giving up the requests behind a broken answer failed when their connections
    // had just been closed as well, and the caller's connection stayed open without an answer.
    @ParameterizedTest
    @ValueSource(ints = {2, 4})
    void brokenAnswerEndsTheCallersConnectionWhenAllConnectionsToTheEndpointCloseAtOnce(int requests) throws Exception {
        CountDownLatch sent = new CountDownLatch(requests);
        List<Socket> sockets = new CopyOnWriteArrayList<>();
        serve((request, connection) -> {
            connection.send(head(request, "Content-Length: 100000") + HALF);
            sockets.add(connection.socket());
            sent.countDown();
        });
        try (Socket caller = edge.connect()) {
            for (int i = 1; i <= requests; i++) {
                caller.getOutputStream()
                        .write(EdgeFixture.get("/read/x", "a" + i).getBytes(StandardCharsets.ISO_8859_1));
            }
            awaitBytes(caller.getInputStream(), 50_000);
            assertTrue(sent.await(5, TimeUnit.SECONDS));
            edge.whileServerPauses(() -> {
                for (Socket socket : sockets) {
                    socket.close();
                }
            });
            assertEquals("", EdgeFixture.readAll(caller.getInputStream()).replace("a", ""));
        }
        assertEquals(
                List.of(true),
                edge.decisions().stream()
                        .filter(decision -> decision.fields().containsKey(DecisionField.MAY_HAVE_RUN))
                        .map(decision -> decision.fields().get(DecisionField.MAY_HAVE_RUN))
                        .distinct()
                        .toList());
    }

    // Guards against requests held past the time that the operator has set for their route: a large answer that had
    // begun was given the time of its caller.
    @ParameterizedTest
    @CsvSource({
        "/read/x, Content-Length: 100000, 5000, ''",
        "/read/x, Content-Length: 100000, 100, a",
        "/file/x, Content-Length: 100000, 100, a",
        "/read/x, Transfer-Encoding: chunked, 5000, ''",
        "/read/x, Transfer-Encoding: chunked, 100, '1\r\na\r\n'",
        "/file/x, Transfer-Encoding: chunked, 100, '1\r\na\r\n'"
    })
    void answerThatOutlastsTheTimeOfItsRouteIsBrokenOffInTime(String path, String framing, int pauseMillis, String part)
            throws Exception {
        CompletableFuture<Boolean> closed = new CompletableFuture<>();
        boolean chunked = framing.contains("chunked");
        serve((request, connection) -> {
            connection.send(head(request, framing) + (chunked ? "c350\r\n" + HALF + "\r\n" : HALF));
            try {
                while (!connection.isClosedWithin(pauseMillis)) {
                    connection.send(part);
                }
            } finally {
                closed.complete(true);
            }
        });
        String patient = EdgeFixture.get(path, "a1").replace("Timeout-Millis: 1200", "Timeout-Millis: 8000");
        long sentNanos = System.nanoTime();
        String answer = edge.sendRaw(patient);
        long heldMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos) - ROUTE_TIMEOUT_MILLIS;
        assertTrue(heldMillis >= 0, "broken off " + -heldMillis + " ms before the time of its route");
        assertTrue(heldMillis < MAX_HELD_MILLIS, "held " + heldMillis + " ms past the time of its route");
        assertTrue(answer.length() < 100_000 && !answer.endsWith("0\r\n\r\n"), "the answer looks whole");
        assertTrue(closed.get(5, TimeUnit.SECONDS), "the endpoint works on");
        assertEquals(List.of("deadline"), edge.reasonsOf(DecisionKind.FAILED));
    }

    @Test
    void bytesBeyondTheLengthReachNoCaller() throws IOException {
        serve((request, connection) ->
                connection.send(head(request, "Content-Length: 50000") + HALF + "HTTP/1.1 200 OK\r\n\r\nextra"));
        String first = edge.call("/read/x", "a1");
        assertTrue(first.endsWith(HALF));
        assertTrue(edge.call("/read/x", "a2").endsWith(HALF));
    }

    /** A body without end, read by a slow caller: neither memory nor the endpoint's connection may fill up. */
    @Test
    void endpointIsPausedWhileTheCallerDoesNotRead() throws Exception {
        AtomicLong sent = new AtomicLong();
        CompletableFuture<Void> ended = new CompletableFuture<>();
        serve((request, connection) -> {
            connection.send(head(request, "X-No: length"));
            try {
                while (true) {
                    connection.send(HALF);
                    sent.addAndGet(HALF.length());
                }
            } catch (IOException e) {
                ended.complete(null);
            }
        });
        try (Socket caller = edge.connect()) {
            caller.getOutputStream().write(EdgeFixture.get("/read/x", "a1").getBytes(StandardCharsets.ISO_8859_1));
            Thread.sleep(800);
            long atFirst = sent.get();
            Thread.sleep(200);
            assertEquals(atFirst, sent.get(), "the endpoint was not paused");
            // The deadline ends the request, and with it the endpoint's work.
            ended.get(5, TimeUnit.SECONDS);
        }
    }

    @Test
    void endpointsWorkEndsWhenTheCallerLeavesMidway() throws Exception {
        CompletableFuture<Boolean> closed = new CompletableFuture<>();
        serve((request, connection) -> {
            connection.send(head(request, "Content-Length: 100000") + HALF);
            closed.complete(connection.isClosedWithin(1_000));
        });
        try (Socket caller = edge.connect()) {
            caller.getOutputStream().write(EdgeFixture.get("/file/x", "a1").getBytes(StandardCharsets.ISO_8859_1));
            awaitBytes(caller.getInputStream(), 50_000);
        }
        assertTrue(closed.get(5, TimeUnit.SECONDS));
        // Recorded after the connection to the endpoint has been closed.
        while (edge.decisions().stream().noneMatch(decision -> decision.kind() == DecisionKind.ABANDONED)) {
            Thread.sleep(10);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 50_000})
    void largeAnswerWaitsForThePrecedingAnswersOfItsConnection(int firstBytes) throws IOException {
        serve((request, connection) -> {
            boolean isFirst = request.header("Bulrushwheel-Request-Id").equals("a1");
            if (isFirst) {
                Thread.sleep(300);
            }
            connection.send(ScriptedEndpoint.ok(request, (isFirst ? "1" : "2").repeat(isFirst ? firstBytes : 70_000)));
        });
        String answers = edge.sendRaw(EdgeFixture.get("/read/x", "a1")
                + EdgeFixture.get("/read/x", "a2").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
        assertTrue(answers.contains("1".repeat(firstBytes)));
        assertTrue(answers.endsWith("2".repeat(70_000)));
        assertTrue(answers.indexOf("22222") > answers.lastIndexOf("11111"));
    }

    @Test
    void answerWithoutLengthIsNotSentInChunksToAnOldCaller() throws IOException {
        serve((request, connection) -> {
            connection.send(head(request, "X-No: length") + HALF);
            connection.socket().close();
        });
        String answer = edge.sendRaw(EdgeFixture.get("/read/x", "a1").replace("HTTP/1.1", "HTTP/1.0"));
        assertTrue(answer.endsWith(HALF));
        assertTrue(answer.toLowerCase().contains("content-length: 50000"), "the answer has no length");
    }
}
