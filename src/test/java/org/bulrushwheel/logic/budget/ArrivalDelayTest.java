package org.bulrushwheel.logic.budget;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

class ArrivalDelayTest {
    private static final long INTERVAL_MILLIS = 300;
    // The sender's clock has another origin.
    private static final long SKEW_MILLIS = 1_000_000;
    private static final long TRANSIT_MILLIS = 20;

    private final ArrivalDelay delay = new ArrivalDelay(INTERVAL_MILLIS);

    private void onMessage(String sender, long sentMillis, long waitedMillis) {
        delay.onMessage(sender, sentMillis + SKEW_MILLIS, sentMillis + TRANSIT_MILLIS + waitedMillis);
    }

    // Guards against requests held past the time of their route, since their wait in the link is not counted.
    @ParameterizedTest
    @CsvSource({
        "0, 320, 0",
        "0, 600, 0",
        "0, 1020, 400",
        "200, 520, 200",
        "200, 1220, 400",
        "700, 1100, 700",
        "2000, 2500, 1000"
    })
    void delayIsThatOfTheLastMessageOrOfTheOverdueOne(long waitedMillis, long nowMillis, long expectedMillis) {
        onMessage("a", 0, 0);
        onMessage("a", INTERVAL_MILLIS, waitedMillis);
        assertEquals(expectedMillis, delay.millis(nowMillis));
    }

    @Test
    void fastestMessageOfTheLastSecondsCounts() {
        onMessage("a", 0, 0);
        for (long sent = INTERVAL_MILLIS; sent < 60_000; sent += INTERVAL_MILLIS) {
            onMessage("a", sent, 400);
        }
        // The path has become longer for good.
        assertEquals(0, delay.millis(60_000));
    }

    // Guards against requests ended early for seconds after the machine of the sender was started again.
    @ParameterizedTest
    @CsvSource({"-1000000, 0", "-6000, 0", "6000, 0", "-400, 400"})
    void senderWhoseClockStartsAnewStartsAnew(long jumpMillis, long expectedMillis) {
        onMessage("a", 0, 0);
        long nowMillis = INTERVAL_MILLIS + TRANSIT_MILLIS;
        delay.onMessage("a", INTERVAL_MILLIS + SKEW_MILLIS + jumpMillis, nowMillis);
        assertEquals(expectedMillis, delay.millis(nowMillis));
    }

    // Guards against requests ended early as long as an instance is cut off from control.
    @Test
    void senderThatIsCutOffDelaysNothing() {
        onMessage("a", 0, 0);
        onMessage("a", INTERVAL_MILLIS, 700);
        assertEquals(0, delay.millis(7_000));
    }

    @Test
    void anotherSenderStartsAnew() {
        onMessage("a", 0, 0);
        onMessage("b", INTERVAL_MILLIS, 500);
        assertEquals(0, delay.millis(INTERVAL_MILLIS + TRANSIT_MILLIS + 500));
        assertEquals(0, new ArrivalDelay(INTERVAL_MILLIS).millis(5_000));
    }
}
