package org.bulrushwheel.client;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.bulrushwheel.logic.response.MalformedHead;
import org.bulrushwheel.logic.response.MalformedShape;
import org.bulrushwheel.server.edge.ScriptedEndpoint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

@Timeout(40)
class HttpCallerTest {
    private static final String REQUEST_ID = "Bulrushwheel-Request-Id";
    private static final int PAUSE_MILLIS = 50;

    private ServerSocket server;

    @BeforeEach
    void open() throws IOException {
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void close() throws IOException {
        server.close();
    }

    /** Guards against a command that keeps a body without end, or waits for its end for good. */
    @ParameterizedTest
    @CsvSource({"'', 65536, 0", "'', 1, 100", "Transfer-Encoding: chunked, 65536, 0", "Content-Length: 1000000, 1, 100"
    })
    void bodyWithoutEndIsNoAnswer(String framing, int partBytes, int pauseMillis) {
        String head = "HTTP/1.1 200 OK\r\n" + (framing.isEmpty() ? "" : framing + "\r\n") + "\r\n";
        String chunk = framing.startsWith("Transfer") ? Integer.toHexString(partBytes) + "\r\n" : "";
        Thread endless = new Thread(() -> answer(head, chunk, partBytes, pauseMillis));
        endless.setDaemon(true);
        endless.start();
        assertEquals(
                0,
                new HttpCaller().get("127.0.0.1:" + server.getLocalPort(), "/").status());
    }

    /** Guards against a malformed response that a command takes for an answer. */
    @ParameterizedTest
    @MethodSource("org.bulrushwheel.logic.response.MalformedShape#all")
    void malformedResponseIsNoAnswer(MalformedShape shape) throws IOException {
        try (ScriptedEndpoint endpoint = new ScriptedEndpoint((request, connection) -> {
            connection.send(shape.response("a1"));
            connection.socket().close();
        })) {
            HttpAnswer answer = new HttpCaller().get(endpoint.address(), "/");
            assertEquals(0, answer.status(), answer.text());
        }
    }

    /** Guards against a sound response that a command does not get. */
    @ParameterizedTest
    @CsvSource({
        "GET, 'HTTP/1.1 200 OK|Content-Length: 5||whole', whole",
        "GET, 'HTTP/1.0 200 OK||whole', whole",
        "GET, 'HTTP/1.1 200 OK|Transfer-Encoding: chunked||5|whole|0||', whole",
        "GET, 'HTTP/1.1 103 Early Hints||HTTP/1.1 200 OK|Content-Length: 5||whole', whole",
        "HEAD, 'HTTP/1.1 200 OK|Content-Length: 5||', ''",
        "POST, 'HTTP/1.1 200 OK|Content-Length: 0||', ''"
    })
    void soundResponseIsTheAnswer(String method, String response, String body) throws IOException {
        try (ScriptedEndpoint endpoint = new ScriptedEndpoint((request, connection) -> {
            connection.send(response.replace("|", "\r\n"));
            connection.socket().close();
        })) {
            HttpAnswer answer =
                    new HttpCaller().call(method, endpoint.address(), "/a?b", Map.of("X-A", "1"), new byte[0]);
            assertEquals(200, answer.status(), answer.text());
            assertEquals(body, answer.text());
            assertEquals(method + " /a?b HTTP/1.1", endpoint.received().get(0).line());
            assertEquals("1", endpoint.received().get(0).header("X-A"));
        }
    }

    /** Guards against a stray response, or a part of one, that is taken for or joined with the answer to the next call. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK|Content-Length: 5||stray", "HTTP/1.1 200 OK|X: ", "HTTP/1.1 2", "|"})
    void strayBytesAreNotTakenForTheNextAnswer(String stray) throws Exception {
        AtomicInteger received = new AtomicInteger();
        try (ScriptedEndpoint endpoint = new ScriptedEndpoint((request, connection) -> {
            connection.send(MalformedHead.soundResponse("a" + received.incrementAndGet()));
            if (received.get() == 1) {
                Thread.sleep(PAUSE_MILLIS);
                connection.send(stray.replace("|", "\r\n"));
            }
        })) {
            HttpCaller caller = new HttpCaller();
            assertEquals(
                    "a1", caller.get(endpoint.address(), "/").header(REQUEST_ID).orElse("none"));
            Thread.sleep(4 * PAUSE_MILLIS);
            HttpAnswer answer = caller.get(endpoint.address(), "/");
            assertEquals("a2", answer.header(REQUEST_ID).orElse("none"), answer.text());
            assertEquals("whole", answer.text());
        }
    }

    /** Guards against a call that is carried out although its caller has given it up. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void interruptedCallClosesItsConnection(boolean kept) throws Exception {
        CompletableFuture<Boolean> closed = new CompletableFuture<>();
        CountDownLatch received = new CountDownLatch(1);
        try (ScriptedEndpoint endpoint = new ScriptedEndpoint((request, connection) -> {
            if (request.line().contains("/first")) {
                connection.send(MalformedHead.soundResponse("a1"));
                return;
            }
            received.countDown();
            closed.complete(connection.isClosedWithin(5_000));
        })) {
            HttpCaller caller = new HttpCaller();
            if (kept) {
                assertEquals(200, caller.get(endpoint.address(), "/first").status());
            }
            Thread thread = new Thread(() -> caller.get(endpoint.address(), "/"));
            thread.start();
            assertTrue(received.await(5, TimeUnit.SECONDS));
            thread.interrupt();
            assertTrue(closed.get(10, TimeUnit.SECONDS));
        }
    }

    /** Guards against a change that is sent twice, and a read that fails, since a kept connection was closed. */
    @ParameterizedTest
    @CsvSource({"GET, 200, 3", "HEAD, 200, 3", "POST, 0, 2", "PUT, 0, 2"})
    void onlyReadsAreSentAgainWhenAKeptConnectionIsClosed(String method, int expectedStatus, int expectedRequests)
            throws IOException {
        AtomicInteger received = new AtomicInteger();
        try (ScriptedEndpoint endpoint = new ScriptedEndpoint((request, connection) -> {
            if (received.incrementAndGet() == 2) {
                connection.socket().close();
            } else {
                connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            }
        })) {
            HttpCaller caller = new HttpCaller();
            assertEquals(200, caller.get(endpoint.address(), "/").status());
            HttpAnswer answer = caller.call(method, endpoint.address(), "/", Map.of(), new byte[0]);
            assertEquals(expectedStatus, answer.status(), answer.text());
            assertEquals(expectedRequests, received.get());
        }
    }

    private void answer(String head, String chunk, int partBytes, int pauseMillis) {
        try (Socket socket = server.accept()) {
            // What is sent before the request ends the connection.
            assertTrue(socket.getInputStream().read() >= 0);
            OutputStream output = socket.getOutputStream();
            output.write(head.getBytes(StandardCharsets.US_ASCII));
            while (true) {
                output.write(chunk.getBytes(StandardCharsets.US_ASCII));
                output.write(new byte[partBytes]);
                output.write((chunk.isEmpty() ? "" : "\r\n").getBytes(StandardCharsets.US_ASCII));
                Thread.sleep(pauseMillis);
            }
        } catch (IOException | InterruptedException e) {
            // The caller has given up, or the test is over.
        }
    }
}
