package org.bulrushwheel.server.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import org.bulrushwheel.control.ControlService;
import org.bulrushwheel.control.ReplicaStatus;
import org.bulrushwheel.kernel.KernelService;
import org.bulrushwheel.kernel.ServiceTimer;
import org.bulrushwheel.logic.fleet.FleetState;
import org.bulrushwheel.logic.fleet.Subscriber;
import org.bulrushwheel.logic.fleet.TrafficHistory;
import org.bulrushwheel.logic.raft.ReplicaId;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.decision.Decision;
import org.bulrushwheel.model.decision.DecisionField;
import org.bulrushwheel.model.decision.DecisionKind;
import org.bulrushwheel.model.decision.DecisionSink;
import org.bulrushwheel.model.proto.EntrySummary;
import org.bulrushwheel.model.proto.FleetHello;
import org.bulrushwheel.model.proto.FleetUpdate;
import org.bulrushwheel.model.proto.Frame;
import org.bulrushwheel.model.proto.ReplicaPlace;
import org.bulrushwheel.model.proto.ZoneEvacuation;
import org.bulrushwheel.wire.PeerNetwork;

/**
 * Sends changes of the fleet state to the subscribed entry instances, and sends other control instances a summary of
 * the entry instances that report to this one.
 *
 * <p>Invariants: only committed state is sent; changes that follow one another closely are sent as one update. Thread
 * safe: subscribers are accessed on the control thread.
 */
public final class FleetPublisher implements KernelService {
    /** Name of the service in the kernel. */
    public static final String NAME = "fleet-publisher";

    private static final long SUMMARY_INTERVAL_MILLIS = 500;
    // Changes that were held, or have to be repeated, wait for no further event.
    private static final long SEND_INTERVAL_MILLIS = 100;
    private static final long MIN_RECORDED_HOLD_MILLIS = 500;

    private final ReplicaPlaces replicaPlaces;
    private final ControlService control;
    private final EntryDirectory directory;
    private final PoisonRelay poisonRelay;
    private final PeerNetwork peers;
    private final TimeSource time;
    private final ServiceTimer timer;
    private final DecisionSink decisions;
    private final Map<String, Subscriber> subscribers = new HashMap<>();
    private final Map<String, ZoneEvacuation> appliedEvacuations = new HashMap<>();
    private volatile int subscribersBehind;
    private final TrafficHistory trafficHistory = new TrafficHistory();

    /** Creates the publisher of a control instance and registers its message handlers. */
    public FleetPublisher(
            ReplicaPlace self,
            ControlService control,
            EntryDirectory directory,
            PoisonRelay poisonRelay,
            PeerNetwork peers,
            TimeSource time,
            MetricRegistry metrics,
            DecisionSink decisions) {
        this.replicaPlaces = new ReplicaPlaces(self, time);
        this.control = control;
        this.directory = directory;
        this.poisonRelay = poisonRelay;
        this.peers = peers;
        this.time = time;
        this.decisions = decisions;
        this.timer = new ServiceTimer(NAME, metrics);
        metrics.gauge("fleet.subscribers.behind", () -> () -> subscribersBehind);
        control.addFleetListener(this::publish);
        peers.handle(Frame.BodyCase.FLEET_HELLO, (frame, reply) -> onHello(frame.getFleetHello()));
        peers.handle(Frame.BodyCase.ENTRY_SUMMARY, (frame, reply) -> onSummary(frame.getEntrySummary()));
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        timer.every(SUMMARY_INTERVAL_MILLIS, this::sendSummary);
        timer.every(SEND_INTERVAL_MILLIS, () -> control.execute(state -> sendHeldChanges(state.fleet())));
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
        control.execute(state -> onHello(hello, state.fleet()));
    }

    private void onHello(FleetHello hello, FleetState fleet) {
        long nowMillis = time.monotonicMillis();
        boolean isNew = hello.getHaveRevision() == 0
                || !subscribers.containsKey(hello.getEntry().getPeerAddress());
        Subscriber subscriber = subscribers.computeIfAbsent(hello.getEntry().getPeerAddress(), Subscriber::new);
        subscriber.onHello(hello, nowMillis);
        if (isNew) {
            // Before the first update, so that an instance knows them before it is ready.
            poisonRelay.sendSuspects(subscriber.peer());
        }
        boolean hasChanges = sendChanges(subscriber, fleet, nowMillis);
        if (!hasChanges && !hello.getAcknowledgement()) {
            send(
                    subscriber,
                    FleetUpdate.newBuilder()
                            .setFromRevision(subscriber.revision())
                            .setRevision(subscriber.revision()));
        }
    }

    private void publish(FleetState fleet) {
        trafficHistory.add(fleet.traffic());
        recordEvacuations(fleet);
        long nowMillis = time.monotonicMillis();
        subscribers.values().removeIf(subscriber -> subscriber.isExpired(nowMillis));
        subscribersBehind = (int) subscribers.values().stream()
                .filter(Subscriber::awaitsAcknowledgement)
                .count();
        for (Subscriber subscriber : subscribers.values()) {
            subscriber.onChanges(fleet.revision(), nowMillis);
            sendChanges(subscriber, fleet, nowMillis);
        }
    }

    private void sendHeldChanges(FleetState fleet) {
        long nowMillis = time.monotonicMillis();
        subscribers.values().stream()
                .filter(subscriber -> peers.connection(subscriber.peer()) != PeerNetwork.NO_CONNECTION)
                .forEach(subscriber -> sendChanges(subscriber, fleet, nowMillis));
    }

    private void recordEvacuations(FleetState fleet) {
        for (ZoneEvacuation evacuation : fleet.evacuations()) {
            ZoneEvacuation previous = appliedEvacuations.put(evacuation.getZone(), evacuation);
            if (!evacuation.equals(previous)) {
                decisions.record(Decision.of(DecisionKind.EVACUATION_APPLIED)
                        .with(DecisionField.ZONE, evacuation.getZone())
                        .with(DecisionField.STATE, evacuation.getActive() ? "active" : "ended")
                        .with(DecisionField.VIEW_REVISION, evacuation.getRevision()));
            }
        }
    }

    /** Sends the changes that are due to a subscriber; returns whether there were any. */
    private boolean sendChanges(Subscriber subscriber, FleetState fleet, long nowMillis) {
        long connection = peers.connection(subscriber.peer());
        Optional<FleetUpdate.Builder> update = subscriber.nextChanges(fleet, trafficHistory, connection, nowMillis);
        if (update.isEmpty()) {
            return false;
        }
        recordLate(subscriber, fleet, connection, nowMillis);
        send(subscriber, update.get());
        long sentConnection = peers.connection(subscriber.peer());
        if (sentConnection != PeerNetwork.NO_CONNECTION) {
            subscriber.onChangesSent(fleet.revision(), fleet.traffic().getVersion(), sentConnection, nowMillis);
        }
        return true;
    }

    private void recordLate(Subscriber subscriber, FleetState fleet, long connection, long nowMillis) {
        if (subscriber.repeats(fleet.revision(), connection, nowMillis)) {
            decisions.record(Decision.of(DecisionKind.UPDATE_REPEATED)
                    .with(DecisionField.PEER, subscriber.peer())
                    .with(DecisionField.VIEW_REVISION, subscriber.revision()));
        }
        if (subscriber.heldMillis(nowMillis) >= MIN_RECORDED_HOLD_MILLIS) {
            decisions.record(Decision.of(DecisionKind.UPDATE_HELD)
                    .with(DecisionField.PEER, subscriber.peer())
                    .with(DecisionField.VIEW_REVISION, fleet.revision())
                    .with(DecisionField.CONFIGURATION_VERSION, fleet.traffic().getVersion())
                    .with(DecisionField.WAITED_MILLIS, subscriber.heldMillis(nowMillis)));
        }
    }

    private void send(Subscriber subscriber, FleetUpdate.Builder update) {
        ReplicaStatus status = control.status();
        update.setCurrent(status.isUpToDate(time.monotonicMillis()))
                .setEntryInstances(directory.serving().size())
                .setSentMillis(time.monotonicMillis());
        status.voters()
                .forEach(voter -> update.addReplicas(
                        replicaPlaces.of(ReplicaId.parse(voter).instance())));
        peers.send(subscriber.peer(), Frame.newBuilder().setFleetUpdate(update));
    }

    private void onSummary(EntrySummary summary) {
        if (summary.hasPlace()) {
            replicaPlaces.update(summary.getPlace());
        }
        summary.getEntriesList().forEach(entry -> directory.update(entry, false));
    }

    private void sendSummary() {
        EntrySummary.Builder summary = EntrySummary.newBuilder().addAllEntries(directory.reportingDirectly());
        if (control.status().isUpToDate(time.monotonicMillis())) {
            // Entry instances return to a nearer control instance whose place they know.
            summary.setPlace(replicaPlaces.self());
        }
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
