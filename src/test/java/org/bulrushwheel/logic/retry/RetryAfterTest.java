package org.bulrushwheel.logic.retry;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

class RetryAfterTest {
    @ParameterizedTest
    @CsvSource({
        "0, 4000, 300", // no queue: the request was refused for another reason
        "800, 4000, 800",
        "5000, 4000, 1333", // callers wait at most a third of their remaining time
        "800, 600, 300",
        "800, -50, 300"
    })
    void delayIsTheExpectedWaitWithinItsBounds(double minWaitMillis, long remainingMillis, long expectedMillis) {
        assertEquals(expectedMillis, RetryAfter.millis(minWaitMillis, remainingMillis));
    }
}
