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
 * Sends changes of the fleet state to the subscribed entry instances, and sends other control instances a summary of
 * the entry instances that report to this one.
 *
 * <p>Invariant: only committed state is sent. Thread safe: subscribers are accessed on the control thread.
 */
public final class FleetPublisher implements KernelService {
    /** Name of the service in the kernel. */
    public static final String NAME = "fleet-publisher";

    private static final long SUMMARY_INTERVAL_MILLIS = 500;

    private record Subscriber(long sentRevision, long deadlineMillis) {}

    private final ReplicaPlaces replicaPlaces;
    private final ControlService control;
    private final EntryDirectory directory;
    private final PeerNetwork peers;
    private final TimeSource time;
    private final ServiceTimer timer;
    private final Map<String, Subscriber> subscribers = new HashMap<>();

    /** Creates the publisher of a control instance and registers its message handlers. */
    public FleetPublisher(
            ReplicaPlace self,
            ControlService control,
            EntryDirectory directory,
            PeerNetwork peers,
            TimeSource time,
            MetricRegistry metrics) {
        this.replicaPlaces = new ReplicaPlaces(self, time);
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
                (frame, reply) -> control.execute(state -> forward(frame.getSender(), frame.getPoisonNotice())));
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        timer.every(SUMMARY_INTERVAL_MILLIS, this::sendSummary);
    }

    @Override
    public void stop() {
        timer.close();
    }

    private void onHello(FleetHello hello) {
        boolean leaving = hello.getEntry().getLeaving();
        directory.update(hello.getEntry(), true);
        if (leaving) {
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
        FleetUpdate.Builder update = fleet.changesSince(subscriber.sentRevision()).toBuilder()
                .setCurrent(status.hearsLeader())
                .setEntryInstances(directory.serving().size());
        status.voters()
                .forEach(voter -> update.addReplicas(
                        replicaPlaces.of(ReplicaId.parse(voter).instance())));
        peers.send(peer, Frame.newBuilder().setFleetUpdate(update));
        // The next hello states which revision the subscriber really has; until then, changes are not sent to it a
        // second time.
        subscribers.put(peer, new Subscriber(fleet.revision(), subscriber.deadlineMillis()));
    }

    /**
     * Forwards suspect requests to all subscribed entry instances except the sender, and to the other control instances
     * unless one of them has forwarded the notice already.
     */
    private void forward(String sender, PoisonNotice notice) {
        subscribers.keySet().stream()
                .filter(peer -> !peer.equals(sender))
                .forEach(peer -> peers.send(peer, Frame.newBuilder().setPoisonNotice(notice)));
        if (!notice.getForwarded()) {
            PoisonNotice forwarded = notice.toBuilder().setForwarded(true).build();
            sendToOtherControls(() -> Frame.newBuilder().setPoisonNotice(forwarded));
        }
    }

    private void onSummary(EntrySummary summary) {
        replicaPlaces.update(summary.getPlace());
        summary.getEntriesList().forEach(entry -> directory.update(entry, false));
    }

    private void sendSummary() {
        EntrySummary summary = EntrySummary.newBuilder()
                .setPlace(replicaPlaces.self())
                .addAllEntries(directory.reportingDirectly())
                .build();
        sendToOtherControls(() -> Frame.newBuilder().setEntrySummary(summary));
    }

    private void sendToOtherControls(Supplier<Frame.Builder> frame) {
        for (String voter : control.status().voters()) {
            String peer = ReplicaId.parse(voter).instance();
            if (!peer.equals(replicaPlaces.self().getPeerAddress())) {
                peers.send(peer, frame.get());
            }
        }
    }
}
