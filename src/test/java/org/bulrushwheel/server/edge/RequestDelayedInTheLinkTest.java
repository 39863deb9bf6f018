package org.bulrushwheel.server.edge;

import java.io.IOException;

import org.bulrushwheel.logic.time.SystemTimeSource;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Requests that have waited in the link of the instance before they could be read. */
@Timeout(30)
class RequestDelayedInTheLinkTest {
    private static final long CALLER_TIMEOUT_MILLIS = 1_200;
    private static final long ARRIVAL_DELAY_MILLIS = 800;
    // A request may be unanswered for this long after its time.
    private static final long MAX_HELD_MILLIS = 500;
    private static final double BYTES_PER_SECOND = 10_000;
    private static final String LARGE = "x".repeat(10_000);

    // Guards against requests held past their time, and endpoints handed more time than is left, since the time that
    // a request has waited in a full link was not counted.
    @ParameterizedTest
    @CsvSource({"/read/x, true", "/file/x, true", "/read/x, false"})
    void timeOfARequestRunsWhileItWaitsInABusyLink(String path, boolean isBusy) throws IOException {
        long waited = isBusy ? ARRIVAL_DELAY_MILLIS : 0;
        try (EdgeFixture edge = new EdgeFixture(
                EdgeHeaders.DEFAULT, EdgeSettings.maxHeldBytesOfProcess(), new SystemTimeSource(), BYTES_PER_SECOND)) {
            edge.serve(1, (request, connection) -> {
                if (request.header("Bulrushwheel-Request-Id").equals("large")) {
                    connection.send(ScriptedEndpoint.ok(request, LARGE));
                }
            });
            if (isBusy) {
                edge.call("/read/x", "large");
            }
            edge.setArrivalDelay(ARRIVAL_DELAY_MILLIS);
            long readNanos = System.nanoTime();
            String answer = edge.call(path, "silent");
            long tookMillis = waited + (System.nanoTime() - readNanos) / 1_000_000;
            assertTrue(answer.startsWith("HTTP/1.1 504"), answer);
            assertTrue(tookMillis >= CALLER_TIMEOUT_MILLIS, "ended after " + tookMillis + " ms");
            assertTrue(tookMillis < CALLER_TIMEOUT_MILLIS + MAX_HELD_MILLIS, "ended after " + tookMillis + " ms");
            ScriptedEndpoint.Received received =
                    edge.endpoints().get(0).received().get(isBusy ? 1 : 0);
            assertEquals("silent", received.header("Bulrushwheel-Request-Id"));
            long handedMillis = Long.parseLong(received.header("Bulrushwheel-Timeout-Millis"));
            assertTrue(handedMillis <= CALLER_TIMEOUT_MILLIS - waited, "handed " + handedMillis + " ms");
        }
    }
}
