package org.bulrushwheel.logic.fleet;

import org.bulrushwheel.model.proto.EndpointRecord;
import org.bulrushwheel.model.proto.EntryRecord;
import org.bulrushwheel.model.proto.FleetHello;
import org.bulrushwheel.model.proto.FleetUpdate;
import org.bulrushwheel.model.proto.PutEndpoints;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class SubscriberTest {
    private static final long REVISION = 10;
    private static final long SENT_REVISION = 9;
    private static final long CONNECTION = 1;

    private final Subscriber subscriber = new Subscriber("peer");

    private static FleetHello hello(long incarnation, long revision) {
        return FleetHello.newBuilder()
                .setEntry(EntryRecord.newBuilder().setIncarnation(incarnation))
                .setHaveRevision(revision)
                .build();
    }

    @Test
    void changesAreSentTogetherUntilTheEarlierOnesAreAcknowledged() {
        subscriber.onHello(hello(1, 5), 0);
        assertTrue(subscriber.mayReceiveChanges(REVISION, CONNECTION, 0));
        subscriber.onChangesSent(9, 1, CONNECTION, 0);
        assertFalse(subscriber.mayReceiveChanges(REVISION, CONNECTION, 100));
        subscriber.onHello(hello(1, 9), 150);
        assertTrue(subscriber.mayReceiveChanges(REVISION, CONNECTION, 150));
        assertEquals(9, subscriber.revision());
    }

    /** What is on its way already is not sent a second time with the changes behind it. */
    @ParameterizedTest
    @CsvSource({"1, 100, 0", "1, 200, 9", "1, 900, 9", "1, 1000, 5", "2, 100, 5"})
    void changesBehindUnacknowledgedOnesBuildOnThem(long connectionNow, long nowMillis, long expectedBase) {
        FleetState fleet = new FleetState();
        for (int endpoint = 0; endpoint < REVISION; endpoint++) {
            fleet.putEndpoints(PutEndpoints.newBuilder()
                    .addEndpoints(EndpointRecord.newBuilder().setId("e" + endpoint))
                    .build());
        }
        subscriber.onHello(hello(1, 5), 0);
        subscriber.onChangesSent(SENT_REVISION, 0, CONNECTION, 0);
        long base = subscriber
                .nextChanges(fleet, new TrafficHistory(), connectionNow, nowMillis)
                .map(FleetUpdate.Builder::getFromRevision)
                .orElse(0L);
        assertEquals(expectedBase, base);
    }

    /** The instance reports each update that it misses, also those that were on their way behind the first. */
    @ParameterizedTest
    @CsvSource({"0, 1", "400, 1", "600, 2"})
    void missedChangesAreSentAgainAtOnceAndOnlyOnce(long secondReportMillis, int expectedRepeats) {
        subscriber.onHello(hello(1, 5), 0);
        subscriber.onChangesSent(SENT_REVISION, 1, CONNECTION, 0);
        int repeats = 0;
        for (long now : new long[] {50, 50 + secondReportMillis}) {
            subscriber.onHello(hello(1, 5).toBuilder().setMissed(true).build(), now);
            if (subscriber.mayReceiveChanges(SENT_REVISION, CONNECTION, now)) {
                subscriber.onChangesSent(SENT_REVISION, 1, CONNECTION, now);
                repeats++;
            }
        }
        assertEquals(expectedRepeats, repeats);
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
            if (subscriber.mayReceiveChanges(SENT_REVISION, CONNECTION, now)) {
                subscriber.onChangesSent(9, 1, CONNECTION, now);
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
        subscriber.onChangesSent(9, 1, CONNECTION, 0);
        subscriber.onHello(hello(1, 5), 300);
        assertEquals(expected, subscriber.mayReceiveChanges(SENT_REVISION, connectionNow, 300));
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
        subscriber.onChangesSent(9, 1, CONNECTION, 0);
        subscriber.onHello(hello(2, 0), 100);
        assertTrue(subscriber.mayReceiveChanges(REVISION, CONNECTION, 100));
        assertEquals(0, subscriber.revision());
    }

    @Test
    void instanceThatReportsNoLongerExpires() {
        subscriber.onHello(hello(1, 5), 0);
        assertFalse(subscriber.isExpired(4_900));
        assertTrue(subscriber.isExpired(5_100));
    }
}
