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
import org.bulrushwheel.logic.fleet.FleetView;
import org.bulrushwheel.logic.fleet.SourceChoice;
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
 * Keeps an entry instance's view of the fleet: one control instance at a time tells it of changes; one that falls silent
 * or hears no leader is left for the next.
 *
 * <p>Invariant: the view never goes back. Thread safe: the view is kept on the event loop.
 */
public final class FleetSubscription implements KernelService {
    /** Name in the kernel. */
    public static final String NAME = "fleet-subscription";

    private static final long HELLO_PAUSE_MILLIS = 300;
    // Three hellos unanswered, or two ways between regions and an election.
    private static final long SILENT_MILLIS = 1_000;
    // A control instance that has come back is left alone until it has caught up.
    private static final long RETURN_MILLIS = 5_000;
    // Budgets shared by all instances must not grow while a part of them is cut off for minutes.
    private static final double FORGOTTEN_PART = 0.002;

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
    private List<ReplicaPlace> replicas = List.of();
    private volatile FleetView view = FleetView.empty();
    private String source = "";
    private volatile long currentMillis;
    private boolean lost;
    private long switchedMillis;
    private double instances = 1;
    private volatile boolean leaving;
    private volatile boolean ready;

    /**
     * A subscription of an entry instance.
     *
     * @param self what others are told of this instance
     * @param seeds control instances to begin with
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
        // Before the first contact the age of the view is that of this instance.
        this.currentMillis = time.monotonicMillis();
        this.metrics = metrics;
        peers.handle(
                Frame.BodyCase.FLEET_UPDATE,
                (frame, reply) -> loop.execute(() -> onUpdate(frame.getSender(), frame.getFleetUpdate())));
    }

    @Override
    public String name() {
        return NAME;
    }

    /** Adds a listener for new views; called on the event loop. To be added before the start. */
    public void onView(Consumer<FleetView> listener) {
        listeners.add(listener);
    }

    /** Tells the other entry instances, by way of the control instances, of a suspect request. */
    public void tell(PoisonRecord record) {
        if (!source.isEmpty()) {
            peers.send(
                    source,
                    Frame.newBuilder().setPoisonNotice(PoisonNotice.newBuilder().addRecords(record)));
        }
    }

    /** Tells the other entry instances, by way of the control instances, of loads of endpoints. */
    public void tellLoads(List<SeenLoad> loads) {
        if (!source.isEmpty()) {
            peers.send(
                    source,
                    Frame.newBuilder().setLoadNotice(LoadNotice.newBuilder().addAllLoads(loads)));
        }
    }

    /** Sets who hears what other entry instances have seen of endpoints' loads; called on the event loop. */
    public void onLoads(Consumer<List<SeenLoad>> listener) {
        peers.handle(
                Frame.BodyCase.LOAD_NOTICE,
                (frame, reply) ->
                        loop.execute(() -> listener.accept(frame.getLoadNotice().getLoadsList())));
    }

    /** Sets who hears of suspect requests of other entry instances; called on the event loop. */
    public void onPoison(Consumer<PoisonRecord> listener) {
        peers.handle(
                Frame.BodyCase.POISON_NOTICE,
                (frame, reply) -> loop.execute(
                        () -> frame.getPoisonNotice().getRecordsList().forEach(listener)));
    }

    /** Whether this instance has a configuration and does not leave. */
    public boolean isReady() {
        return ready && !leaving;
    }

    /** Returns the view that is obeyed. */
    public FleetView view() {
        return view;
    }

    /** Returns how long ago a control instance that hears a leader confirmed the view, in milliseconds. */
    public long viewAgeMillis() {
        return time.monotonicMillis() - currentMillis;
    }

    @Override
    public void start() {
        loop.scheduleWithFixedDelay(this::tick, 0, HELLO_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void drain(long deadlineNanos) {
        leaving = true;
        loop.execute(this::sayHello);
    }

    @Override
    public void stop() {
        // The event loop ends with the network.
    }

    private void tick() {
        long nowMillis = time.monotonicMillis();
        boolean stale = nowMillis - currentMillis > SILENT_MILLIS && nowMillis - switchedMillis > SILENT_MILLIS;
        boolean farther = nowMillis - switchedMillis > RETURN_MILLIS
                && SourceChoice.isNearerThere(source, self.getZone(), replicas);
        if (source.isEmpty() || stale) {
            switchSource(nowMillis, source);
        } else if (farther) {
            switchSource(nowMillis, "");
        }
        sayHello();
    }

    /** Turns to the control instance that stands behind another in the order, to the nearest behind none. */
    private void switchSource(long nowMillis, String behind) {
        List<String> candidates = SourceChoice.order(self.getZone(), self.getRegion(), replicas, seeds.get());
        if (candidates.isEmpty()) {
            return;
        }
        String next = candidates.get((candidates.indexOf(behind) + 1) % candidates.size());
        if (!source.isEmpty() && !source.equals(next)) {
            metrics.counter("fleet.sources.left").inc();
            boolean silent = !behind.isEmpty();
            lost = lost || silent;
            decisions.record(Decision.of(silent ? DecisionKind.DEPENDENCY_LOST : DecisionKind.DEPENDENCY_REGAINED)
                    .with(DecisionField.DEPENDENCY, "control-instance " + (silent ? source : next))
                    .with(DecisionField.REASON, silent ? "silent, turning to " + next : "nearer than " + source)
                    .with(DecisionField.SILENT_MILLIS, nowMillis - currentMillis));
        }
        source = next;
        switchedMillis = nowMillis;
    }

    private void sayHello() {
        if (source.isEmpty()) {
            return;
        }
        EntryRecord entry =
                self.toBuilder().setServing(isReady()).setLeaving(leaving).build();
        peers.send(
                source,
                Frame.newBuilder()
                        .setFleetHello(FleetHello.newBuilder().setEntry(entry).setHaveRevision(view.revision())));
    }

    private void onUpdate(String sender, FleetUpdate update) {
        long nowMillis = time.monotonicMillis();
        if (sender.equals(source) && update.getCurrent()) {
            currentMillis = nowMillis;
            if (lost) {
                lost = false;
                decisions.record(Decision.of(DecisionKind.DEPENDENCY_REGAINED)
                        .with(DecisionField.DEPENDENCY, "control-instance " + sender)
                        .with(DecisionField.VIEW_REVISION, update.getRevision()));
            }
        }
        if (update.getCurrent() && update.getReplicasCount() > 0) {
            replicas = update.getReplicasList();
        }
        instances = Math.max(update.getEntryInstances(), instances * (1 - FORGOTTEN_PART));
        FleetUpdate counted = update.toBuilder()
                .setEntryInstances((int) Math.round(instances))
                .build();
        FleetView next = view.after(counted, codec, regionsByZone, nowMillis);
        if (next == view) {
            return;
        }
        recordChange(next);
        view = next;
        ready = next.traffic().isPresent();
        listeners.forEach(listener -> listener.accept(next));
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
