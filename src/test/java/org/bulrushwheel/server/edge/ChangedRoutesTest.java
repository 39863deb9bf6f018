package org.bulrushwheel.server.edge;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.bulrushwheel.model.proto.FleetUpdate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Requests after a configuration has added, moved or dropped their route. */
@Timeout(30)
class ChangedRoutesTest {
    private static final String DESK = "desk";
    private static final String ARCHIVE = "archive";

    private final EdgeFixture edge = new EdgeFixture();

    @AfterEach
    void close() {
        edge.close();
    }

    private static String document(int version, String prefix, String service) {
        return EdgeFixture.TRAFFIC
                .replace("\"version\": 1", "\"version\": " + version)
                .replace("/read/", prefix)
                .replaceFirst("\"service\": \"desk\"", "\"service\": \"" + service + "\"")
                .replace(
                        "\"services\": [",
                        "\"services\": [{\"name\": \"archive\", \"healthPath\": \"/health\","
                                + " \"maxConnections\": 100, \"coldStartMillis\": 0, \"coldRequestsPerSecond\": 0}, ");
    }

    /** Configures the first version, with one endpoint of each service that answers with the name of its service. */
    private void serve() throws IOException {
        FleetUpdate.Builder first = EdgeFixture.traffic(1, document(1, "/read/", DESK));
        for (String service : new String[] {DESK, ARCHIVE}) {
            ScriptedEndpoint endpoint =
                    edge.start((request, connection) -> connection.send(ScriptedEndpoint.ok(request, service)));
            first.addEndpoints(
                    EdgeFixture.endpoint("e-" + service, endpoint).toBuilder().setService(service));
        }
        edge.update(first);
    }

    // Guards against a request that is handled by an older configuration, since its connection was opened before the
    // newer one, or since requests of the older one are still unanswered there.
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void keptConnectionFollowsTheNewestConfiguration(boolean precedingIsUnanswered) throws Exception {
        CountDownLatch newerInForce = new CountDownLatch(1);
        ScriptedEndpoint slow = edge.start((request, connection) -> {
            assertTrue(newerInForce.await(5, TimeUnit.SECONDS));
            connection.send(ScriptedEndpoint.ok(request, DESK));
        });
        ScriptedEndpoint archive =
                edge.start((request, connection) -> connection.send(ScriptedEndpoint.ok(request, ARCHIVE)));
        edge.update(EdgeFixture.traffic(1, document(1, "/read/", DESK))
                .addEndpoints(EdgeFixture.endpoint("e0", slow))
                .addEndpoints(EdgeFixture.endpoint("e1", archive).toBuilder().setService(ARCHIVE)));
        try (Socket caller = edge.connect()) {
            send(caller, EdgeFixture.get("/read/x", "a1"));
            while (slow.received().isEmpty()) {
                Thread.sleep(5);
            }
            if (!precedingIsUnanswered) {
                newerInForce.countDown();
            }
            edge.update(EdgeFixture.traffic(2, document(2, "/read/", ARCHIVE)));
            send(caller, EdgeFixture.get("/read/x", "a2").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
            while (precedingIsUnanswered && archive.received().isEmpty()) {
                Thread.sleep(5);
            }
            newerInForce.countDown();
            String answers = EdgeFixture.readAll(caller.getInputStream());
            assertTrue(answers.indexOf(DESK) > 0 && answers.endsWith(ARCHIVE), answers);
        }
        assertEquals(1, slow.received().size());
    }

    private static void send(Socket caller, String request) throws IOException {
        caller.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
    }

    // Guards against routes that are added and not served, or dropped and served on.
    @Test
    void addedRouteIsServedLikeTheOthersAndADroppedOneNoLonger() throws IOException {
        serve();
        assertTrue(edge.call("/added/x", "a0").startsWith("HTTP/1.1 404"));
        for (int version = 2; version < 8; version++) {
            boolean isAdded = version % 2 == 0;
            edge.update(EdgeFixture.traffic(version, document(version, isAdded ? "/added/" : "/read/", DESK)));
            for (int request = 0; request < 20; request++) {
                String id = version + "-" + request;
                assertTrue(edge.call(isAdded ? "/added/x" : "/read/x", "s" + id).endsWith(DESK));
                assertTrue(edge.call(isAdded ? "/read/x" : "/added/x", "d" + id).startsWith("HTTP/1.1 404"));
                assertTrue(edge.call("/file/x", "f" + id).endsWith(DESK));
            }
        }
    }
}
