package org.bulrushwheel.server.edge;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import org.bulrushwheel.model.proto.PoisonRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Requests that crash endpoints, and requests that only seem to. */
@Timeout(30)
class CrashingRequestTest {
    private final EdgeFixture edge = new EdgeFixture();

    @AfterEach
    void close() {
        edge.close();
    }

    /** Guards against a page that is refused for minutes because two of its answers were lost. */
    @ParameterizedTest
    @CsvSource({"reset, 200", "crash, 503"})
    void onlyRequestsThatEndedTheirEndpointsAreRefusedLater(String end, String expectedStatus) throws Exception {
        edge.serve(4, (request, connection) -> {
            if (!request.header("Bulrushwheel-Request-Id").equals("a1")) {
                connection.send(ScriptedEndpoint.ok(request, "whole"));
            } else if (end.equals("crash")) {
                connection.crash();
            } else {
                connection.reset();
            }
        });
        assertTrue(edge.call("/read/x", "a1").startsWith("HTTP/1.1 502"));
        assertTrue(edge.call("/read/x", "a2").startsWith("HTTP/1.1 503"));
        Thread.sleep(1_500);
        assertTrue(edge.call("/read/x", "a3").startsWith("HTTP/1.1 " + expectedStatus));
    }

    @Test
    void requestThatCrashedTwoEndpointsIsNotSentToThird() throws IOException {
        edge.serve(5, (request, connection) -> connection.crash());
        List<PoisonRecord> records = new CopyOnWriteArrayList<>();
        edge.server().setPoisonListener(records::add);
        for (int attempt = 0; attempt < 4; attempt++) {
            edge.call("/read/x", "a" + attempt);
        }
        assertEquals(2, edge.totalReceived());
        assertEquals(2, records.size());
        assertTrue(edge.call("/read/other", "b1").startsWith("HTTP/1.1 502"), "a different request is not poison");
    }

    @Test
    void requestThatCrashedEndpointsAtAnotherInstanceIsRefused() throws IOException {
        edge.serve(2, (request, connection) -> connection.crash());
        List<PoisonRecord> records = new CopyOnWriteArrayList<>();
        edge.server().setPoisonListener(records::add);
        edge.call("/read/x", "a1");
        try (EdgeFixture other = new EdgeFixture()) {
            ScriptedEndpoint healthy =
                    edge.start((request, connection) -> connection.send(ScriptedEndpoint.ok(request, "x")));
            other.configure(List.of(EdgeFixture.endpoint("e9", healthy)));
            other.mergePoison(records);
            assertTrue(other.call("/read/x", "a2").startsWith("HTTP/1.1 503"));
            assertEquals(0, healthy.received().size());
        }
    }
}
