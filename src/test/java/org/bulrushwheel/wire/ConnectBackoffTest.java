package org.bulrushwheel.wire;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ConnectBackoffTest {
    private final ConnectBackoff backoff = new ConnectBackoff();

    /** Returns when a peer is connected whose machine is without power until a moment, and answers after a round trip. */
    private long connectedAt(long powerMillis, long roundTripMillis) {
        long now = 0;
        while (now < powerMillis || backoff.timeoutMillis() < roundTripMillis) {
            now += backoff.timeoutMillis();
            now += backoff.onFailure();
        }
        return now + roundTripMillis;
    }

    /** Machines that lost power together come back within half a second; their first messages meet some without power. */
    @ParameterizedTest
    @CsvSource({"100, 1", "400, 1", "500, 42", "800, 42"})
    void peerThatComesBackIsConnectedWithinAFewTenthsOfASecond(long powerMillis, long roundTripMillis) {
        assertTrue(connectedAt(powerMillis, roundTripMillis) - powerMillis <= 600);
    }

    /** An entry instance whose narrow link is full of answers connects late. */
    @Test
    void peerBehindAFullLinkIsConnectedInTheEnd() {
        assertTrue(connectedAt(0, 1_900) < 6_000);
    }

    @Test
    void successMakesTheNextAttemptShortAgain() {
        int first = backoff.timeoutMillis();
        backoff.onFailure();
        backoff.onFailure();
        backoff.onSuccess();
        assertEquals(first, backoff.timeoutMillis());
    }
}
