package org.bulrushwheel.logic.retry;

import java.util.Arrays;
import java.util.stream.IntStream;

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

    @ParameterizedTest
    @CsvSource({
        "3, 3000",
        "0, 0",
        "0.25, 250",
        "' 2 ', 2000",
        "1e300, 9223372036854775807", // capped by whoever stores it
        "-1, -1",
        "soon, -1",
        "'', -1",
        "NaN, -1",
        "Infinity, -1",
        "'Sat, 05 Dec 2026 16:00:00 GMT', -1"
    })
    void secondsOfAPauseAreReadOrIgnored(String header, long expectedMillis) {
        assertEquals(expectedMillis, RetryAfter.parseMillis(header).orElse(-1));
    }

    @ParameterizedTest
    @CsvSource({"10000, 10000, 12000", "10, 300, 300"})
    void callersComeBackAfterThePauseNotTogether(long pauseMillis, long atLeast, long atMost) {
        long[] delays = IntStream.range(0, 100)
                .mapToLong(caller -> RetryAfter.afterPauseMillis(pauseMillis, "caller" + caller))
                .toArray();
        assertEquals(true, Arrays.stream(delays).allMatch(delay -> delay >= atLeast && delay <= atMost));
        assertEquals(atLeast < atMost, Arrays.stream(delays).distinct().count() > 50);
    }
}
