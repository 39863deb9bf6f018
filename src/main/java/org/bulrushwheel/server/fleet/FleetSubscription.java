package org.bulrushwheel.server.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import org.bulrushwheel.kernel.KernelService;
import org.bulrushwheel.logic.budget.ArrivalDelay;
import org.bulrushwheel.logic.fleet.FleetView;
import org.bulrushwheel.logic.fleet.SourceChoice;
import org.bulrushwheel.logic.fleet.SourceSearch;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.decision.Decision;
import org.bulrushwheel.model.decision.DecisionField;
import org.bulrushwheel.model.decision.DecisionKind;
import org.bulrushwheel.model.decision.DecisionSink;
import org.bulrushwheel.model.proto.EntryRecord;
import org.bulrushwheel.model.proto.FleetHello;
import org.bulrushwheel.model.proto.FleetUpdate;
import org.bulrushwheel.model.proto.Frame;
import org.bulrushwheel.model.proto.LoadNotice;
import org.bulrushwheel.model.proto.PoisonNotice;
import org.bulrushwheel.model.proto.PoisonRecord;
import org.bulrushwheel.model.proto.ReplicaPlace;
import org.bulrushwheel.model.proto.SeenLoad;
import org.bulrushwheel.model.traffic.TrafficDocumentCodec;
import org.bulrushwheel.wire.PeerNetwork;

/**
 * Maintains the view that an entry instance has of the fleet. It subscribes to one control instance at a time, and
 * switches to the next one if the current one does not respond or has no contact with a leader ({@link SourceSearch}).
 *
 * <p>Invariant: the revision of the view never decreases. Thread safe: the view is updated on the event loop.
 */
public final class FleetSubscription implements KernelService {
    /** Name of the service in the kernel. */
    public static final String NAME = "fleet-subscription";

    private static final long HELLO_INTERVAL_MILLIS = 300;
    // The estimate of entry instances decays slowly: budgets divided among them must not grow while some of them are
    // partitioned off for minutes.
    private static final double ENTRY_COUNT_DECAY = 0.002;

    private final EntryRecord self;
    private final Supplier<List<String>> seeds;
    private final Map<String, String> regionsByZone;
    private final TrafficDocumentCodec codec;
    private final PeerNetwork peers;
    private final EventLoop loop;
    private final TimeSource time;
    private final MetricRegistry metrics;
    private final DecisionSink decisions;
    private final List<Consumer<FleetView>> listeners = new ArrayList<>();
    private Supplier<List<PoisonRecord>> suspects = List::of;
    private List<ReplicaPlace> replicas = List.of();
    private volatile FleetView view = FleetView.empty();
    private final SourceSearch search;
    private volatile long lastConfirmedMillis;
    private final ArrivalDelay arrivalDelay = new ArrivalDelay(HELLO_INTERVAL_MILLIS);
    private double entryInstanceEstimate = 1;
    private volatile boolean leaving;
    private volatile boolean ready;

    /**
     * Creates the subscription of an entry instance.
     *
     * @param self record of this instance that is sent with each hello
     * @param seeds addresses of the control instances to contact first
     */
    public FleetSubscription(
            EntryRecord self,
            Supplier<List<String>> seeds,
            Map<String, String> regionsByZone,
            TrafficDocumentCodec codec,
            PeerNetwork peers,
            EventLoop loop,
            TimeSource time,
            MetricRegistry metrics,
            DecisionSink decisions) {
        this.decisions = decisions;
        this.self = self;
        this.seeds = seeds;
        this.regionsByZone = Map.copyOf(regionsByZone);
        this.codec = codec;
        this.peers = peers;
        this.loop = loop;
        this.time = time;
        // Until the first contact the view counts as old as this instance.
        this.lastConfirmedMillis = time.monotonicMillis();
        this.search = new SourceSearch(lastConfirmedMillis);
        this.metrics = metrics;
        peers.handle(
                Frame.BodyCase.FLEET_UPDATE,
                (frame, reply) -> loop.execute(() -> onUpdate(frame.getSender(), frame.getFleetUpdate())));
    }

    @Override
    public String name() {
        return NAME;
    }

    /** Adds a listener for new views, called on the event loop. Must be called before {@link #start}. */
    public void onView(Consumer<FleetView> listener) {
        listeners.add(listener);
    }

    /** Sends the record of a suspect request to the other entry instances, through the control instances. */
    public void publishPoisonRecord(PoisonRecord record) {
        if (!search.source().isEmpty()) {
            peers.send(
                    search.source(),
                    Frame.newBuilder().setPoisonNotice(PoisonNotice.newBuilder().addRecords(record)));
        }
    }

    /** Sends loads of endpoints to the other entry instances, through the control instances. */
    public void publishLoads(List<SeenLoad> loads) {
        if (!search.source().isEmpty()) {
            peers.send(
                    search.source(),
                    Frame.newBuilder().setLoadNotice(LoadNotice.newBuilder().addAllLoads(loads)));
        }
    }

    /** Sets the listener for endpoint loads measured by other entry instances; called on the event loop. */
    public void setLoadListener(Consumer<List<SeenLoad>> listener) {
        peers.handle(
                Frame.BodyCase.LOAD_NOTICE,
                (frame, reply) ->
                        loop.execute(() -> listener.accept(frame.getLoadNotice().getLoadsList())));
    }

    /** Sets the listener for suspect requests reported by other entry instances; called on the event loop. */
    public void setPoisonListener(Consumer<PoisonRecord> listener) {
        peers.handle(
                Frame.BodyCase.POISON_NOTICE,
                (frame, reply) -> loop.execute(
                        () -> frame.getPoisonNotice().getRecordsList().forEach(listener)));
    }

    /** Sets the source of the suspect requests that a newly chosen control instance is told of. */
    public void setSuspects(Supplier<List<PoisonRecord>> newSuspects) {
        suspects = newSuspects;
    }

    /** Whether this instance has a traffic configuration and is not leaving. */
    public boolean isReady() {
        return ready && !leaving;
    }

    /** Returns the view in force. */
    public FleetView view() {
        return view;
    }

    /**
     * Returns the time since the view was last confirmed by a control instance in contact with a leader, in
     * milliseconds.
     */
    public long viewAgeMillis() {
        return time.monotonicMillis() - lastConfirmedMillis;
    }

    /**
     * Returns how long what arrives at this instance now has waited in its link, as far as the updates of its control
     * instance show it, in milliseconds. Must be called on the event loop.
     */
    public long arrivalDelayMillis() {
        return arrivalDelay.millis(time.monotonicMillis());
    }

    @Override
    public void start() {
        loop.scheduleWithFixedDelay(this::tick, 0, HELLO_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void drain(long deadlineNanos) {
        leaving = true;
        loop.execute(() -> sendHello(FleetHello.newBuilder()));
    }

    @Override
    public void stop() {
        // The event loop is shut down with the network.
    }

    private void tick() {
        String previous = search.source();
        boolean nearerThere = SourceChoice.isNearerThere(previous, self.getZone(), replicas);
        if (search.check(candidates(), nearerThere, time.monotonicMillis())) {
            boolean silent = search.isLost();
            onSourceChanged(previous, silent ? "silent" : "nearer", silent);
        }
        sendHello(FleetHello.newBuilder());
    }

    private List<String> candidates() {
        return SourceChoice.order(self.getZone(), self.getRegion(), replicas, seeds.get());
    }

    private void onSourceChanged(String previous, String reason, boolean lost) {
        String next = search.source();
        if (!previous.isEmpty()) {
            metrics.counter("fleet.sources.left").inc();
            decisions.record(Decision.of(lost ? DecisionKind.DEPENDENCY_LOST : DecisionKind.DEPENDENCY_REGAINED)
                    .with(DecisionField.DEPENDENCY, "control-instance " + (lost ? previous : next))
                    .with(DecisionField.REASON, lost ? reason + ", turning to " + next : reason + " than " + previous)
                    .with(DecisionField.SILENT_MILLIS, viewAgeMillis()));
        }
        // It may have started since they were published.
        List<PoisonRecord> known = suspects.get();
        if (!known.isEmpty()) {
            peers.send(
                    next,
                    Frame.newBuilder()
                            .setPoisonNotice(PoisonNotice.newBuilder()
                                    .addAllRecords(known)
                                    .setForwarded(true)));
        }
    }

    private void sendHello(FleetHello.Builder hello) {
        if (search.source().isEmpty()) {
            return;
        }
        EntryRecord entry =
                self.toBuilder().setServing(isReady()).setLeaving(leaving).build();
        peers.send(
                search.source(),
                Frame.newBuilder()
                        .setFleetHello(hello.setEntry(entry)
                                .setHaveRevision(view.revision())
                                .setHaveTrafficVersion(view.trafficVersion())));
    }

    private void onUpdate(String sender, FleetUpdate update) {
        long nowMillis = time.monotonicMillis();
        if (update.getCurrent() && update.getReplicasCount() > 0) {
            replicas = update.getReplicasList();
        }
        if (sender.equals(search.source())) {
            arrivalDelay.onMessage(sender, update.getSentMillis(), nowMillis);
        }
        onSourceState(sender, update, nowMillis);
        entryInstanceEstimate = Math.max(update.getEntryInstances(), entryInstanceEstimate * (1 - ENTRY_COUNT_DECAY));
        FleetUpdate smoothed = update.toBuilder()
                .setEntryInstances((int) Math.round(entryInstanceEstimate))
                .build();
        FleetView next = view.withUpdate(smoothed, codec, regionsByZone, nowMillis);
        if (update.getRevision() > next.revision()) {
            onMissed(sender, update);
        }
        if (next == view) {
            return;
        }
        recordChange(next);
        boolean isNewRevision = next.revision() != view.revision();
        view = next;
        ready = next.traffic().isPresent();
        listeners.forEach(listener -> listener.accept(next));
        if (isNewRevision && sender.equals(search.source())) {
            sendHello(FleetHello.newBuilder().setAcknowledgement(true));
        }
    }

    private void onSourceState(String sender, FleetUpdate update, long nowMillis) {
        if (!update.getCurrent()) {
            if (sender.equals(search.source()) && search.onNotCurrent(candidates(), nowMillis)) {
                onSourceChanged(sender, "not current", true);
                sendHello(FleetHello.newBuilder());
            }
            return;
        }
        boolean wasLost = search.isLost();
        search.onConfirmed(sender, nowMillis);
        if (!sender.equals(search.source())) {
            return;
        }
        lastConfirmedMillis = nowMillis;
        if (wasLost) {
            decisions.record(Decision.of(DecisionKind.DEPENDENCY_REGAINED)
                    .with(DecisionField.DEPENDENCY, "control-instance " + sender)
                    .with(DecisionField.VIEW_REVISION, update.getRevision()));
        }
    }

    private void onMissed(String sender, FleetUpdate update) {
        metrics.counter("fleet.updates.missed").inc();
        decisions.record(Decision.of(DecisionKind.UPDATE_MISSED)
                .with(DecisionField.PEER, sender)
                .with(DecisionField.VIEW_REVISION, update.getRevision())
                .with(DecisionField.CONFIGURATION_VERSION, update.getTraffic().getVersion()));
        if (sender.equals(search.source())) {
            sendHello(FleetHello.newBuilder().setMissed(true));
        }
    }

    private void recordChange(FleetView next) {
        if (next.trafficVersion() != view.trafficVersion()) {
            decisions.record(Decision.of(DecisionKind.CONFIGURATION_IN_FORCE)
                    .with(DecisionField.CONFIGURATION_VERSION, next.trafficVersion())
                    .with(DecisionField.VIEW_REVISION, next.revision()));
        }
        if (next.revision() != view.revision()) {
            decisions.record(Decision.of(DecisionKind.VIEW_CHANGED)
                    .with(DecisionField.VIEW_REVISION, next.revision())
                    .with(DecisionField.ENDPOINTS, next.endpointCount())
                    .with(DecisionField.ZONE, next.evacuatedZones())
                    .with(DecisionField.ENTRY_INSTANCES, next.entryInstances()));
        }
    }
}
