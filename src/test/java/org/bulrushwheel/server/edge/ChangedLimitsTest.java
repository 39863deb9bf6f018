package org.bulrushwheel.server.edge;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Limits for callers that change with a configuration while a connection is open. */
@Timeout(30)
class ChangedLimitsTest {
    private final EdgeFixture edge = new EdgeFixture();
    private ScriptedEndpoint endpoint;

    @AfterEach
    void close() throws IOException {
        edge.close();
        endpoint.close();
    }

    private static void send(Socket caller, String request) throws IOException {
        caller.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String padded(String id, int headerBytes, int bodyBytes) {
        return EdgeFixture.get("/read/x", id)
                .replace("GET", "POST")
                .replace(
                        "\r\n\r\n",
                        "\r\nX-Padding: " + "p".repeat(headerBytes) + "\r\nConnection: close\r\nContent-Length: "
                                + bodyBytes + "\r\n\r\n" + "b".repeat(bodyBytes));
    }

    /** Guards against a kept connection that is held to the limits from before a configuration. */
    @ParameterizedTest
    @CsvSource({
        "maxHeaderBytes, 4096, 16384, 8000, 0, 200",
        "maxHeaderBytes, 4096, 2048, 3000, 0, 431",
        "maxHeaderBytes, 4096, 4095, 100, 0, 200",
        "maxBodyBytes, 1000, 5000, 0, 3000, 200",
        "maxBodyBytes, 1000, 500, 0, 800, 413"
    })
    void changedLimitBindsOnAKeptConnection(
            String limit, int before, int after, int headerBytes, int bodyBytes, int expectedStatus)
            throws IOException {
        endpoint = new ScriptedEndpoint(
                (request, connection) -> connection.send(ScriptedEndpoint.ok(request, "x".repeat(100))));
        edge.configure(List.of(EdgeFixture.endpoint("e0", endpoint)));
        try (Socket caller = edge.connect()) {
            send(caller, EdgeFixture.get("/read/x", "a1"));
            String first = "";
            while (!first.endsWith("x".repeat(100))) {
                byte[] bytes = new byte[1_000];
                first += new String(bytes, 0, caller.getInputStream().read(bytes), StandardCharsets.ISO_8859_1);
            }
            String document =
                    EdgeFixture.TRAFFIC.replace("\"" + limit + "\": " + before, "\"" + limit + "\": " + after);
            edge.update(EdgeFixture.traffic(2, document));
            send(caller, padded("a2", headerBytes, bodyBytes));
            String second = EdgeFixture.readAll(caller.getInputStream());
            assertTrue(second.startsWith("HTTP/1.1 " + expectedStatus), second);
        }
    }
}
