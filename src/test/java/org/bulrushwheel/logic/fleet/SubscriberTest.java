package org.bulrushwheel.logic.fleet;

import org.bulrushwheel.model.proto.EntryRecord;
import org.bulrushwheel.model.proto.FleetHello;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class SubscriberTest {
    private static final long REVISION = 10;
    private static final long CONNECTION = 1;

    private final Subscriber subscriber = new Subscriber("peer");

    private static FleetHello hello(long incarnation, long revision) {
        return FleetHello.newBuilder()
                .setEntry(EntryRecord.newBuilder().setIncarnation(incarnation))
                .setHaveRevision(revision)
                .build();
    }

    @Test
    void changesFollowOneAnotherOnlyAfterAcknowledgement() {
        subscriber.onHello(hello(1, 5), 0);
        assertTrue(subscriber.mayReceiveChanges(REVISION, CONNECTION, 0));
        subscriber.onChangesSent(9, CONNECTION, 0);
        assertFalse(subscriber.mayReceiveChanges(REVISION, CONNECTION, 100));
        subscriber.onHello(hello(1, 9), 200);
        assertTrue(subscriber.mayReceiveChanges(REVISION, CONNECTION, 200));
        assertEquals(9, subscriber.revision());
    }

    /** A slow link: hellos every 300 ms while one update is on its way for seconds. */
    @ParameterizedTest
    @CsvSource({"900, 1", "2900, 2", "6900, 3", "10900, 4"})
    void updateOnASlowLinkIsNotSentWithEveryHello(long transitMillis, int expectedCopies) {
        int copies = 0;
        for (long now = 0; now <= transitMillis; now += 100) {
            if (now % 300 == 0) {
                subscriber.onHello(hello(1, 5), now);
            }
            if (subscriber.mayReceiveChanges(REVISION, CONNECTION, now)) {
                subscriber.onChangesSent(9, CONNECTION, now);
                copies++;
            }
        }
        assertEquals(expectedCopies, copies);
    }

    /** Guards against changes that are lost with a connection and sent again only seconds later. */
    @ParameterizedTest
    @CsvSource({"2, true", "0, true", "1, false"})
    void changesLostWithTheirConnectionAreSentAgainAtOnce(long connectionNow, boolean expected) {
        subscriber.onHello(hello(1, 5), 0);
        subscriber.onChangesSent(9, CONNECTION, 0);
        subscriber.onHello(hello(1, 5), 300);
        assertEquals(expected, subscriber.mayReceiveChanges(REVISION, connectionNow, 300));
    }

    /** Guards against whole states that a lagging replica sends to instances that are ahead of it. */
    @ParameterizedTest
    @CsvSource({"4, false", "5, false", "6, true"})
    void replicaThatLagsSendsNothing(long fleetRevision, boolean expected) {
        subscriber.onHello(hello(1, 5), 0);
        assertEquals(expected, subscriber.mayReceiveChanges(fleetRevision, CONNECTION, 0));
    }

    @Test
    void restartedInstanceReceivesItsFirstChangesAtOnce() {
        subscriber.onHello(hello(1, 5), 0);
        subscriber.onChangesSent(9, CONNECTION, 0);
        subscriber.onHello(hello(2, 0), 100);
        assertTrue(subscriber.mayReceiveChanges(REVISION, CONNECTION, 100));
        assertEquals(0, subscriber.revision());
    }

    @Test
    void instanceThatReportsNoLongerExpires() {
        subscriber.onHello(hello(1, 5), 0);
        assertFalse(subscriber.isExpired(1_900));
        assertTrue(subscriber.isExpired(2_100));
    }
}
