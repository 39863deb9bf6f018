package org.bulrushwheel.server.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import org.bulrushwheel.control.ControlService;
import org.bulrushwheel.control.ReplicaStatus;
import org.bulrushwheel.kernel.KernelService;
import org.bulrushwheel.kernel.ServiceTimer;
import org.bulrushwheel.logic.fleet.FleetState;
import org.bulrushwheel.logic.raft.ReplicaId;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.proto.EntrySummary;
import org.bulrushwheel.model.proto.FleetHello;
import org.bulrushwheel.model.proto.FleetUpdate;
import org.bulrushwheel.model.proto.Frame;
import org.bulrushwheel.model.proto.PoisonNotice;
import org.bulrushwheel.model.proto.ReplicaPlace;
import org.bulrushwheel.wire.PeerNetwork;

/**
 * Tells entry instances what changes in the fleet, and other control instances which entry instances it hears.
 *
 * <p>Invariant: everything that is told has been committed. Thread safe: subscribers are kept on the control thread.
 */
public final class FleetPublisher implements KernelService {
    /** Name in the kernel. */
    public static final String NAME = "fleet-publisher";

    private static final long SUMMARY_PAUSE_MILLIS = 500;

    private record Subscriber(long haveRevision, long deadlineMillis) {}

    private final ReplicaPlaces places;
    private final ControlService control;
    private final EntryDirectory directory;
    private final PeerNetwork peers;
    private final TimeSource time;
    private final ServiceTimer timer;
    private final Map<String, Subscriber> subscribers = new HashMap<>();

    /** A publisher on a control instance. */
    public FleetPublisher(
            ReplicaPlace self,
            ControlService control,
            EntryDirectory directory,
            PeerNetwork peers,
            TimeSource time,
            MetricRegistry metrics) {
        this.places = new ReplicaPlaces(self, time);
        this.control = control;
        this.directory = directory;
        this.peers = peers;
        this.time = time;
        this.timer = new ServiceTimer(NAME, metrics);
        control.onFleet(this::publish);
        peers.handle(Frame.BodyCase.FLEET_HELLO, (frame, reply) -> onHello(frame.getFleetHello()));
        peers.handle(Frame.BodyCase.ENTRY_SUMMARY, (frame, reply) -> onSummary(frame.getEntrySummary()));
        peers.handle(
                Frame.BodyCase.POISON_NOTICE,
                (frame, reply) -> control.execute(state -> passOn(frame.getSender(), frame.getPoisonNotice())));
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        timer.every(SUMMARY_PAUSE_MILLIS, this::sendSummary);
    }

    @Override
    public void stop() {
        timer.close();
    }

    private void onHello(FleetHello hello) {
        boolean leaves = hello.getEntry().getLeaving();
        directory.heard(hello.getEntry(), true);
        if (leaves) {
            sendSummary();
        }
        control.execute(state -> {
            String peer = hello.getEntry().getPeerAddress();
            subscribers.put(
                    peer,
                    new Subscriber(hello.getHaveRevision(), time.monotonicMillis() + EntryDirectory.VALID_MILLIS));
            send(peer, state.fleet());
        });
    }

    private void publish(FleetState fleet) {
        long nowMillis = time.monotonicMillis();
        subscribers.values().removeIf(subscriber -> subscriber.deadlineMillis() < nowMillis);
        subscribers.keySet().forEach(peer -> send(peer, fleet));
    }

    private void send(String peer, FleetState fleet) {
        Subscriber subscriber = subscribers.get(peer);
        ReplicaStatus status = control.status();
        FleetUpdate.Builder update = fleet.changesSince(subscriber.haveRevision()).toBuilder()
                .setCurrent(status.hearsLeader())
                .setEntryInstances(directory.serving().size());
        status.voters()
                .forEach(voter ->
                        update.addReplicas(places.of(ReplicaId.parse(voter).instance())));
        peers.send(peer, Frame.newBuilder().setFleetUpdate(update));
        // Only a hello says what really arrived; until then the rest is not sent twice.
        subscribers.put(peer, new Subscriber(fleet.revision(), subscriber.deadlineMillis()));
    }

    /** Tells every entry instance but the sender of suspect requests; one way through each control instance. */
    private void passOn(String sender, PoisonNotice notice) {
        subscribers.keySet().stream()
                .filter(peer -> !peer.equals(sender))
                .forEach(peer -> peers.send(peer, Frame.newBuilder().setPoisonNotice(notice)));
        if (!notice.getForwarded()) {
            PoisonNotice forwarded = notice.toBuilder().setForwarded(true).build();
            sendToOthers(() -> Frame.newBuilder().setPoisonNotice(forwarded));
        }
    }

    private void onSummary(EntrySummary summary) {
        places.heard(summary.getPlace());
        summary.getEntriesList().forEach(entry -> directory.heard(entry, false));
    }

    private void sendSummary() {
        EntrySummary summary = EntrySummary.newBuilder()
                .setPlace(places.self())
                .addAllEntries(directory.heardDirectly())
                .build();
        sendToOthers(() -> Frame.newBuilder().setEntrySummary(summary));
    }

    private void sendToOthers(Supplier<Frame.Builder> frame) {
        for (String voter : control.status().voters()) {
            String peer = ReplicaId.parse(voter).instance();
            if (!peer.equals(places.self().getPeerAddress())) {
                peers.send(peer, frame.get());
            }
        }
    }
}
