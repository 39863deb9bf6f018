package org.bulrushwheel.logic.budget;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LinkMeterTest {
    private final LinkMeter meter = new LinkMeter();

    private int admitted(long shareBytesPerSecond, int offered) {
        int admitted = 0;
        for (int request = 0; request < offered; request++) {
            if (meter.hasRoom("r", shareBytesPerSecond, 0)) {
                meter.onSent("r", 0);
                admitted++;
            }
        }
        return admitted;
    }

    @ParameterizedTest
    @CsvSource({"1000000, 15", "200000, 3", "1000, 1", "0, 0"})
    void firstRequestsAreBoundedBeforeAnyAnswerHasEnded(long shareBytesPerSecond, int expected) {
        assertEquals(expected, admitted(shareBytesPerSecond, 1_000));
    }

    @Test
    void bytesOfTheLastSecondCountAgainstTheShare() {
        meter.onSent("r", 0);
        meter.onFinished("r", 900_000, 10);
        assertFalse(meter.hasRoom("r", 1_000_000, 500));
        assertTrue(meter.hasRoom("r", 1_000_000, 1_100));
    }
}
