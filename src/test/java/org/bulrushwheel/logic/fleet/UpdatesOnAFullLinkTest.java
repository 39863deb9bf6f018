package org.bulrushwheel.logic.fleet;

import java.util.Map;
import java.util.TreeMap;

import com.google.protobuf.ByteString;
import org.bulrushwheel.model.proto.EndpointRecord;
import org.bulrushwheel.model.proto.EntryRecord;
import org.bulrushwheel.model.proto.FleetHello;
import org.bulrushwheel.model.proto.FleetUpdate;
import org.bulrushwheel.model.proto.PutEndpoints;
import org.bulrushwheel.model.proto.ReplaceTraffic;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * A control instance and an entry instance whose link delays everything by the same time in each direction, in the order in
 * which it was sent, on virtual time.
 */
class UpdatesOnAFullLinkTest {
    // configApplyS of the strictest deployment. Requests wait in the same link, so it counts when an update enters
    // that.
    private static final long CONFIG_APPLY_MILLIS = 2_000;
    private static final long CONNECTION = 1;
    private static final long STEP_MILLIS = 10;
    private static final long HELLO_MILLIS = 300;
    private static final long SEND_MILLIS = 100;
    private static final long END_MILLIS = 30_000;

    private static final String LIMITS = "{\"maxHeaderBytes\": 4096, \"maxBodyBytes\": 1000,"
            + " \"headerTimeoutMillis\": 3000, \"idleTimeoutMillis\": 15000}";

    private final FleetState fleet = new FleetState();
    private final TrafficHistory history = new TrafficHistory();
    private final Subscriber subscriber = new Subscriber("entry");
    private final TreeMap<Long, FleetUpdate> updatesByArrival = new TreeMap<>();
    private final TreeMap<Long, FleetHello> hellosByArrival = new TreeMap<>();
    private FleetView view = FleetView.empty();

    private void accept(long version) {
        String document =
                "{\"version\": " + version + ", \"routes\": [], \"services\": [], \"limits\": " + LIMITS + "}";
        fleet.replaceTraffic(ReplaceTraffic.newBuilder()
                .setVersion(version)
                .setDocument(ByteString.copyFromUtf8(document))
                .build());
    }

    private void sendChanges(long nowMillis, long delayMillis) {
        subscriber.nextChanges(fleet, history, CONNECTION, nowMillis).ifPresent(update -> {
            updatesByArrival.put(nowMillis + delayMillis, update.build());
            subscriber.onChangesSent(fleet.revision(), fleet.traffic().getVersion(), CONNECTION, nowMillis);
        });
    }

    private void sendHello(FleetHello.Builder hello, long arrivalMillis) {
        hellosByArrival.merge(
                arrivalMillis,
                hello.setEntry(EntryRecord.newBuilder().setIncarnation(1))
                        .setHaveRevision(view.revision())
                        .setHaveTrafficVersion(view.trafficVersion())
                        .build(),
                (first, second) -> second);
    }

    private void receive(FleetUpdate update, long nowMillis, long delayMillis) {
        FleetView next = view.withUpdate(update, new JsonTrafficCodec(), Map.of(), nowMillis);
        boolean hasMissed = update.getRevision() > next.revision();
        view = next;
        sendHello(FleetHello.newBuilder().setMissed(hasMissed), nowMillis + delayMillis);
    }

    /** Returns when the newest configuration, accepted at the given time, is in force at the entry instance. */
    private long inForceMillis(long acceptedMillis, long announcementMillis, long delayMillis) {
        accept(1);
        for (long now = 0; now < END_MILLIS; now += STEP_MILLIS) {
            if (now % announcementMillis == 0) {
                fleet.putEndpoints(PutEndpoints.newBuilder()
                        .addEndpoints(EndpointRecord.newBuilder()
                                .setId("e" + now % 70)
                                .setSequence(now + 1)
                                .setState(EndpointRecord.State.READY))
                        .build());
                sendChanges(now, delayMillis);
            }
            if (now == acceptedMillis) {
                accept(2);
                sendChanges(now, delayMillis);
            }
            if (now % HELLO_MILLIS == 0) {
                sendHello(FleetHello.newBuilder(), now + delayMillis);
            }
            if (hellosByArrival.containsKey(now)) {
                subscriber.onHello(hellosByArrival.remove(now), now);
                sendChanges(now, delayMillis);
            }
            if (now % SEND_MILLIS == 0) {
                sendChanges(now, delayMillis);
            }
            if (updatesByArrival.containsKey(now)) {
                receive(updatesByArrival.remove(now), now, delayMillis);
            }
            if (view.trafficVersion() == 2) {
                return now;
            }
        }
        return Long.MAX_VALUE / 2;
    }

    // Guards against a configuration that is not sent to an instance on a full link for seconds, since changes of
    // endpoints
    // before it are not acknowledged yet.
    @ParameterizedTest
    @CsvSource({"20, 150", "600, 150", "1300, 150", "1300, 700", "2000, 150", "2000, 1700"})
    void configurationEntersTheLinkInTimeBehindUnacknowledgedChanges(long delayMillis, long announcementMillis) {
        long latest = 0;
        for (long accepted = 8_000; accepted < 16_000; accepted += 70) {
            UpdatesOnAFullLinkTest run = new UpdatesOnAFullLinkTest();
            long inForce = run.inForceMillis(accepted, announcementMillis, delayMillis);
            latest = Math.max(latest, inForce - delayMillis - accepted);
        }
        assertTrue(latest <= CONFIG_APPLY_MILLIS, "entered the link " + latest + " ms after it was accepted");
    }
}
