package org.bulrushwheel.server.edge;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Requests that reach an instance while it stops. The endpoint works for the milliseconds that end the path. */
@Timeout(30)
class EdgeServerStopTest {
    private static final long STOP_MILLIS = 2_800;

    private final EdgeFixture edge = new EdgeFixture();
    private ScriptedEndpoint endpoint;

    @BeforeEach
    void start() throws IOException {
        endpoint = new ScriptedEndpoint((request, connection) -> {
            String path = request.line().split(" ")[1];
            Thread.sleep(Long.parseLong(path.substring(path.lastIndexOf('/') + 1)));
            connection.send(ScriptedEndpoint.ok(request, "whole"));
        });
        edge.configure(List.of(EdgeFixture.endpoint("e0", endpoint)));
    }

    @AfterEach
    void close() throws IOException {
        edge.close();
        endpoint.close();
    }

    /**
     * Guards against requests that are taken late in a stop and cut without an answer when it ends. A negative usual time
     * means that the route is new.
     */
    @ParameterizedTest
    @CsvSource({
        "/file/, 900, 900, 2050, 503",
        "/read/, 900, 900, 2050, 503",
        "/file/, 900, -1, 2050, 503",
        "/read/, 900, -1, 2050, 503",
        "/file/, 900, 900, 1000, 200",
        "/file/, 900, -1, 1000, 200",
        "/file/, 100, 100, 2200, 200",
        "/read/, 100, 100, 2200, 200"
    })
    void requestThatWouldOutlastTheStopIsRefused(
            String path, long workMillis, long usualMillis, long sentAtMillis, int expectedStatus) throws Exception {
        if (usualMillis >= 0) {
            String usual = request(path + usualMillis).replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
            assertTrue(edge.sendRaw(usual).endsWith("whole"));
        }
        int receivedBefore = endpoint.received().size();
        long stopNanos = System.nanoTime();
        CompletableFuture<Void> stopped = stop(stopNanos, STOP_MILLIS);
        sleepUntil(stopNanos, Math.min(sentAtMillis, 2_000));
        try (Socket caller = edge.connect()) {
            sleepUntil(stopNanos, sentAtMillis);
            send(caller, path + workMillis);
            String answer = EdgeFixture.readAll(caller.getInputStream());
            boolean refused = expectedStatus == 503;
            assertTrue(answer.startsWith("HTTP/1.1 " + expectedStatus), () -> answer + edge.decisions());
            assertTrue(answer.toLowerCase().contains("connection: close"), answer);
            assertEquals(refused, answer.toLowerCase().contains("retry-after: 0."), answer);
            assertEquals(receivedBefore + (refused ? 0 : 1), endpoint.received().size());
            stopped.get(10, TimeUnit.SECONDS);
        }
    }

    /** Guards against requests that end without an answer because the stop ends before their endpoint does. */
    @ParameterizedTest
    @ValueSource(strings = {"/file/", "/read/"})
    void requestInFlightWhenTheStopEndsIsAnswered(String path) throws Exception {
        try (Socket caller = edge.connect()) {
            send(caller, path + "1100");
            Thread.sleep(200);
            stop(System.nanoTime(), 300).get(10, TimeUnit.SECONDS);
            edge.close();
            String answer = EdgeFixture.readAll(caller.getInputStream());
            assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
            assertTrue(answer.toLowerCase().contains("connection: close"), answer);
        }
    }

    private CompletableFuture<Void> stop(long stopNanos, long stopMillis) {
        return CompletableFuture.runAsync(() -> {
            edge.server().drain(stopNanos + TimeUnit.MILLISECONDS.toNanos(stopMillis));
            edge.server().stop();
        });
    }

    private static void send(Socket caller, String path) throws IOException {
        caller.getOutputStream().write(request(path).getBytes(StandardCharsets.ISO_8859_1));
    }

    /** A request whose caller waits as long as the route allows: 1,500 ms. */
    private static String request(String path) {
        return EdgeFixture.get(path, "a1").replace("Millis: 1200", "Millis: 1500");
    }

    private static void sleepUntil(long startNanos, long millis) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(startNanos + TimeUnit.MILLISECONDS.toNanos(millis) - System.nanoTime());
    }
}
