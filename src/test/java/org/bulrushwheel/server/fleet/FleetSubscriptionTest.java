package org.bulrushwheel.server.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.bulrushwheel.client.LoopbackPorts;
import org.bulrushwheel.logic.fleet.DocumentDeltas;
import org.bulrushwheel.logic.fleet.JsonTrafficCodec;
import org.bulrushwheel.logic.time.SystemTimeSource;
import org.bulrushwheel.model.decision.DecisionSink;
import org.bulrushwheel.model.instance.Address;
import org.bulrushwheel.model.proto.EntryRecord;
import org.bulrushwheel.model.proto.FleetHello;
import org.bulrushwheel.model.proto.FleetUpdate;
import org.bulrushwheel.model.proto.Frame;
import org.bulrushwheel.model.proto.ReplicaPlace;
import org.bulrushwheel.model.proto.TrafficDocument;
import org.bulrushwheel.wire.PeerNetwork;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Runs one entry instance of zone a1 and nine control instances, one in each zone of three regions. */
@Timeout(60)
class FleetSubscriptionTest {
    private static final List<String> ZONES = List.of("a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2", "c3");
    private static final Set<String> MINORITY = Set.of("a1", "a2", "a3", "b1");
    // contactWindowS of the large deployment: after that, an entry instance counts as in touch with the majority.
    private static final long CONTACT_WINDOW_MILLIS = 4_000;

    private final MetricRegistry metrics = new MetricRegistry();
    private final SystemTimeSource time = new SystemTimeSource();
    // Sorted, since the address decides among control instances of other regions; so b1 is asked before the majority.
    private final List<String> names = LoopbackPorts.free(ZONES.size() + 1).stream()
            .map(port -> "127.0.0.1:" + port)
            .sorted()
            .toList();
    private final List<PeerNetwork> networks = new ArrayList<>();
    private final Set<String> cutOff = ConcurrentHashMap.newKeySet();
    private final FleetSubscription subscription;
    private final BlockingQueue<FleetHello> missedReports = new LinkedBlockingQueue<>();
    private volatile long answerDelayMillis;

    FleetSubscriptionTest() {
        for (int control = 0; control < ZONES.size(); control++) {
            EventLoopGroup controlLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
            PeerNetwork network = network(names.get(control), controlLoops);
            String zone = ZONES.get(control);
            network.handle(Frame.BodyCase.FLEET_HELLO, (frame, reply) -> {
                if (frame.getFleetHello().getMissed()) {
                    missedReports.add(frame.getFleetHello());
                    return;
                }
                boolean isCutOff = cutOff.contains(zone);
                boolean isChanged = !cutOff.isEmpty() && !isCutOff;
                FleetUpdate.Builder update = FleetUpdate.newBuilder()
                        .setRevision(isChanged ? 2 : 1)
                        .setCurrent(!isCutOff)
                        .setEntryInstances(1);
                for (int other = 0; other < ZONES.size(); other++) {
                    update.addReplicas(ReplicaPlace.newBuilder()
                            .setPeerAddress(names.get(other))
                            .setZone(ZONES.get(other))
                            .setRegion(ZONES.get(other).substring(0, 1)));
                }
                controlLoops.schedule(
                        () -> network.send(frame.getSender(), Frame.newBuilder().setFleetUpdate(update)),
                        answerDelayMillis,
                        TimeUnit.MILLISECONDS);
            });
        }
        EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        String self = names.get(ZONES.size());
        PeerNetwork network = network(self, loops);
        subscription = new FleetSubscription(
                EntryRecord.newBuilder()
                        .setPeerAddress(self)
                        .setZone("a1")
                        .setRegion("a")
                        .build(),
                () -> List.of(names.get(0)),
                Map.of(),
                new JsonTrafficCodec(),
                network,
                (EventLoop) loops.next(),
                time,
                metrics,
                DecisionSink.NONE);
        networks.forEach(PeerNetwork::start);
        subscription.start();
    }

    private PeerNetwork network(String name, EventLoopGroup loops) {
        PeerNetwork network = new PeerNetwork(name, Address.parse(name), loops, metrics);
        networks.add(network);
        return network;
    }

    @AfterEach
    void stop() {
        networks.forEach(PeerNetwork::stop);
    }

    private boolean hasRevision(long revision, long deadlineMillis) throws InterruptedException {
        while (subscription.view().revision() < revision && time.monotonicMillis() < deadlineMillis) {
            Thread.sleep(10);
        }
        return subscription.view().revision() >= revision;
    }

    // Guards against an entry instance that asks every control instance of a cut-off minority for a second in turn, and
    // meanwhile sends requests to endpoints that leave.
    @Test
    void changesOfTheMajorityArriveWithinTheContactWindowWhenAllNearControlInstancesAreCutOff()
            throws InterruptedException {
        assertTrue(hasRevision(1, time.monotonicMillis() + 20_000), "no view before the cut");
        long cutMillis = time.monotonicMillis();
        cutOff.addAll(MINORITY);
        boolean arrived = hasRevision(2, cutMillis + CONTACT_WINDOW_MILLIS);
        assertTrue(
                arrived, "the view is that of before the cut, after " + (time.monotonicMillis() - cutMillis) + " ms");
    }

    // Guards against a configuration that is late by the time after which unacknowledged changes are sent again, up to
    // 4 s: the instance lacked the state that they build on, and did not say so.
    @ParameterizedTest
    @CsvSource({"5, 0", "1, 3"})
    void changesThatBuildOnAnotherStateAreReportedAsMissed(long fromRevision, long baseVersion) throws Exception {
        assertTrue(hasRevision(1, time.monotonicMillis() + 20_000), "no view");
        FleetUpdate.Builder update =
                FleetUpdate.newBuilder().setFromRevision(fromRevision).setRevision(9);
        if (baseVersion > 0) {
            ByteString document = ByteString.copyFromUtf8("document");
            update.setHasTraffic(true)
                    .setTraffic(TrafficDocument.newBuilder()
                            .setVersion(baseVersion + 1)
                            .setDelta(DocumentDeltas.between(baseVersion, document, document)));
        }
        // The control instance of zone a1 is the nearest, so it is the source.
        networks.get(0).send(names.get(ZONES.size()), Frame.newBuilder().setFleetUpdate(update));
        FleetHello report = missedReports.poll(CONTACT_WINDOW_MILLIS, TimeUnit.MILLISECONDS);
        assertEquals(1, Objects.requireNonNull(report, "not reported").getHaveRevision());
        assertEquals(1, subscription.view().revision());
    }

    // Guards against an entry instance on a full link that never hears of a control instance before it has left it.
    @Test
    void viewIsConfirmedWhileEveryAnswerTakesLongerThanASecond() throws InterruptedException {
        assertTrue(hasRevision(1, time.monotonicMillis() + 20_000), "no view before the delay");
        answerDelayMillis = 1_300;
        long endMillis = time.monotonicMillis() + 2 * CONTACT_WINDOW_MILLIS;
        while (time.monotonicMillis() < endMillis) {
            long ageMillis = subscription.viewAgeMillis();
            assertTrue(ageMillis < CONTACT_WINDOW_MILLIS, "the view was last confirmed " + ageMillis + " ms ago");
            Thread.sleep(10);
        }
    }
}
