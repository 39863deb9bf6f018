package org.bulrushwheel.logic.retry;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

class RetryAfterTest {
    @ParameterizedTest
    @CsvSource({
        "0, 4000, 300", // nothing waits: the refusal had another reason
        "800, 4000, 800",
        "5000, 4000, 1333", // callers honour no more than a third of what they have
        "800, 600, 300",
        "800, -50, 300"
    })
    void callerIsToldWhenAnEndpointIsExpectedToBeFree(double leastWaitMillis, long leftMillis, long expectedMillis) {
        assertEquals(expectedMillis, RetryAfter.millis(leastWaitMillis, leftMillis));
    }
}
