package org.bulrushwheel.logic.fleet;

import org.bulrushwheel.model.proto.EndpointRecord;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

class ColdTimesTest {
    private static EndpointRecord cold(long remainingMillis) {
        return EndpointRecord.newBuilder()
                .setId("e")
                .setColdRemainingMillis(remainingMillis)
                .build();
    }

    /** Guards against an endpoint that is cold again during its cold time and is taken for warm at the end of the first. */
    @ParameterizedTest
    @CsvSource({
        // Agreed on at 0 with 3 s left: the same cold time, punctual, late and early.
        "1000, 2000, false",
        "1400, 2000, false",
        "900, 2000, false",
        // Cold again.
        "1000, 3000, true",
        "2600, 3000, true",
        // Cold again after the end of the first, or warm.
        "3500, 3000, true",
        "1000, 0, false"
    })
    void onlyALaterEndExtendsTheAgreedColdTime(long heardMillis, long remainingMillis, boolean expected) {
        ColdTimes times = new ColdTimes();
        assertEquals(true, times.isExtendedBy(cold(3_000), 0));
        times.onAgreed(cold(3_000), 0);
        assertEquals(expected, times.isExtendedBy(cold(remainingMillis), heardMillis));
    }
}
