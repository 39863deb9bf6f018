package org.bulrushwheel.logic.retry;

import org.bulrushwheel.logic.budget.LinkLoad;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

class ConnectPatienceTest {
    /**
     * Bundles of 90 KB arrive one after another at the speed of the link while a connection to a silent endpoint is
     * waited for: narrow links of 2.6 and 1.4 Mbit/s, a wide one, an idle one, and one of unknown capacity.
     */
    @ParameterizedTest
    @CsvSource({
        "325000, 325000, 2000, 1500, false",
        "175000, 175000, 2000, 1500, false",
        "325000, 325000, 400, 700, false",
        "325000, 325000, 0, 400, true",
        "87500000, 325000, 2000, 400, true",
        "0, 325000, 2000, 400, true"
    })
    void connectionIsWaitedForWhileTheOwnLinkIsBusy(
            double linkBytesPerSecond,
            long receivedPerSecond,
            long receivedMillis,
            long givenUpMillis,
            boolean blamed) {
        LinkLoad link = new LinkLoad(linkBytesPerSecond);
        ConnectPatience patience = new ConnectPatience(0);
        long nextCheck = patience.waitMillis(link.isBusy(0), 0);
        long now = 0;
        while (nextCheck > 0) {
            for (long end = now + nextCheck; now < end; now += 10) {
                if (now < receivedMillis) {
                    link.onReceived(receivedPerSecond / 100, now);
                }
            }
            nextCheck = patience.waitMillis(link.isBusy(now), now);
        }
        assertEquals(givenUpMillis, now, 100);
        assertEquals(blamed, patience.blamesEndpoint());
    }
}
