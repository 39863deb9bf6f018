package org.bulrushwheel.daemon;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.bulrushwheel.control.ControlClient;
import org.bulrushwheel.control.ControlService;
import org.bulrushwheel.control.ReplicaSettings;
import org.bulrushwheel.kernel.DecisionLog;
import org.bulrushwheel.kernel.Kernel;
import org.bulrushwheel.kernel.StallMonitor;
import org.bulrushwheel.logic.fleet.EntryChoice;
import org.bulrushwheel.logic.raft.RaftRole;
import org.bulrushwheel.logic.raft.ReplicaId;
import org.bulrushwheel.logic.time.SystemTimeSource;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.instance.Address;
import org.bulrushwheel.model.proto.EndpointLeave;
import org.bulrushwheel.model.proto.EndpointRecord;
import org.bulrushwheel.model.proto.ReplicaPlace;
import org.bulrushwheel.model.proto.TrafficDocument;
import org.bulrushwheel.model.settings.FleetSettings;
import org.bulrushwheel.server.api.ApiCapacity;
import org.bulrushwheel.server.api.ApiServer;
import org.bulrushwheel.server.api.CallerPresence;
import org.bulrushwheel.server.fleet.EndpointRegistry;
import org.bulrushwheel.server.fleet.EntryDirectory;
import org.bulrushwheel.server.fleet.FleetAdministration;
import org.bulrushwheel.server.fleet.FleetPublisher;
import org.bulrushwheel.server.fleet.FleetServices;
import org.bulrushwheel.server.fleet.LoadRelay;
import org.bulrushwheel.server.fleet.PoisonRelay;
import org.bulrushwheel.storage.ReplicaStorage;
import org.bulrushwheel.wire.PeerNetwork;

/**
 * Control instance of a deployment whose instances find each other through seeds.
 *
 * <p>Invariant: calls of operators, endpoints and callers have an event loop of their own, so that no number of them holds
 * up the frames by which control instances stay in contact. Thread safe; {@link #start()} and {@link #close()} are called once.
 */
public final class FleetControlDaemon implements AutoCloseable {
    // An endpoint counts as silent after four intervals: one announcement may arrive seconds late, but not four in a
    // row.
    private static final int MISSED_ANNOUNCEMENTS_LIMIT = 4;
    // Bounds the log because a process reads all of it when it starts, and its heap is small.
    private static final long SNAPSHOT_LOG_BYTES = 4L * 1024 * 1024;
    private static final long RETAINED_LOG_ENTRIES = 200;
    // Long enough for replies in flight to be written.
    private static final long DRAIN_MILLIS = 300;

    private final FleetSettings settings;
    private final Kernel kernel;
    private final EventLoopGroup callLoop = newLoop("calls");

    /** Assembles the services of a process with these settings; none of them runs before {@link #start()}. */
    public FleetControlDaemon(FleetSettings settings, SettingsWatch watch, FleetInterfaces interfaces) {
        this.settings = settings;
        MetricRegistry metrics = new MetricRegistry();
        TimeSource time = new SystemTimeSource();
        DecisionLog decisions = new DecisionLog(settings.instance(), time);
        kernel = new Kernel(decisions);
        watch.setDecisionSink(decisions);
        PeerNetwork peers = kernel.register(new PeerNetwork(
                settings.peerAddress(), Address.parse(settings.peerAddress()), newLoop("peers"), metrics));
        ControlService control = kernel.register(new ControlService(
                new ReplicaSettings(
                        settings.peerAddress(),
                        settings.dataPath().orElseThrow(),
                        () -> watch.current().seedPeers(),
                        true,
                        SNAPSHOT_LOG_BYTES,
                        RETAINED_LOG_ENTRIES),
                peers,
                time,
                RandomGenerator.getDefault(),
                metrics));
        control.setDecisionSink(decisions);
        ControlClient client = kernel.register(new ControlClient(() -> replicas(control), peers, time, metrics));
        EndpointRegistry registry = kernel.register(new EndpointRegistry(
                control,
                client,
                peers,
                settings.bounds().announcementMillis() * MISSED_ANNOUNCEMENTS_LIMIT,
                time,
                metrics,
                decisions));
        EntryDirectory directory = new EntryDirectory(time);
        PoisonRelay poisonRelay = new PoisonRelay(directory, () -> otherControlInstances(control), peers, time);
        kernel.register(new FleetPublisher(place(), control, directory, poisonRelay, peers, time, metrics, decisions));
        kernel.register(new LoadRelay(directory, () -> otherControlInstances(control), peers, time, metrics));
        FleetServices services = new ControlServices(
                administration(control, client, interfaces, decisions),
                registry,
                directory,
                settings.bounds().lookupValidSeconds());
        ApiCapacity capacity = new ApiCapacity(Runtime.getRuntime().maxMemory(), metrics);
        registerInterfaces(services, interfaces, capacity, metrics);
        registerGauges(metrics, control, directory, time);
        kernel.register(new StallMonitor(time, metrics, decisions));
        MetricsListener.register(kernel, settings, callLoop, capacity, metrics);
    }

    private static EventLoopGroup newLoop(String threadName) {
        return new MultiThreadIoEventLoopGroup(
                1, new DefaultThreadFactory(threadName, true), NioIoHandler.newFactory());
    }

    private void registerInterfaces(
            FleetServices services, FleetInterfaces interfaces, ApiCapacity capacity, MetricRegistry metrics) {
        kernel.register(new ApiServer(
                "control-api",
                Address.parse(java.util.Objects.requireNonNull(settings.controlAddress(), "controlAddress is missing")),
                callLoop,
                interfaces.control(services),
                capacity,
                capacity.maxDocumentBytes(),
                metrics));
        kernel.register(new ApiServer(
                "lookup-api",
                Address.parse(java.util.Objects.requireNonNull(settings.lookupAddress(), "lookupAddress is missing")),
                callLoop,
                interfaces.lookup(services),
                capacity,
                ApiServer.MAX_SMALL_BODY_BYTES,
                metrics));
    }

    private static void registerGauges(
            MetricRegistry metrics, ControlService control, EntryDirectory directory, TimeSource time) {
        metrics.gauge("entry-instances.serving", () -> () -> directory.serving().size());
        metrics.gauge("control.leads", () -> () -> control.status().role() == RaftRole.LEADER ? 1 : 0);
        metrics.gauge("control.hears-leader", () -> () -> control.status().hearsLeader() ? 1 : 0);
        metrics.gauge("control.up-to-date", () -> () -> control.status().isUpToDate(time.monotonicMillis()) ? 1 : 0);
        metrics.gauge("control.term", () -> () -> control.status().term());
        metrics.gauge("control.commit-index", () -> () -> control.status().commitIndex());
    }

    /** Starts every service; on the first start of a deployment, its seeds become the initial voters. */
    public void start() {
        boolean isInitialVoter = settings.firstStart() && settings.seedPeers().contains(settings.peerAddress());
        java.nio.file.Path folder = settings.dataPath().orElseThrow();
        if (isInitialVoter && ReplicaStorage.identity(folder).isEmpty()) {
            ControlService.bootstrap(folder, settings.peerAddress(), settings.seedPeers());
        }
        kernel.start();
    }

    /** Gives calls in flight 300 ms to be answered and stops every service. */
    @Override
    public void close() {
        try {
            Thread.sleep(DRAIN_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        kernel.stop(System.nanoTime());
        callLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2, TimeUnit.SECONDS);
    }

    private static FleetAdministration administration(
            ControlService control, ControlClient client, FleetInterfaces interfaces, DecisionLog decisions) {
        return new FleetAdministration(
                client,
                () -> control.readLocal(state -> state.fleet().traffic()),
                interfaces.trafficCodec(),
                decisions);
    }

    private ReplicaPlace place() {
        return ReplicaPlace.newBuilder()
                .setPeerAddress(settings.peerAddress())
                .setZone(settings.zone())
                .setRegion(settings.region())
                .build();
    }

    /** Returns the replicas that requests may be sent to: the leader first if it is known, then the voters. */
    private List<String> replicas(ControlService control) {
        Set<String> known = new LinkedHashSet<>();
        Optional.of(control.status().leader())
                .filter(leader -> !leader.isEmpty())
                .ifPresent(known::add);
        control.status()
                .voters()
                .forEach(voter -> known.add(ReplicaId.parse(voter).instance()));
        return List.copyOf(known);
    }

    private List<String> otherControlInstances(ControlService control) {
        return control.status().voters().stream()
                .map(voter -> ReplicaId.parse(voter).instance())
                .filter(peer -> !peer.equals(settings.peerAddress()))
                .toList();
    }

    private record ControlServices(
            FleetAdministration administration,
            EndpointRegistry registry,
            EntryDirectory directory,
            double lookupValidSeconds)
            implements FleetServices {
        @Override
        public CompletionStage<FleetAdministration.Outcome> replaceTraffic(byte[] document) {
            return administration.replaceTraffic(document);
        }

        @Override
        public CompletionStage<Optional<TrafficDocument>> readTraffic() {
            return administration.readTraffic();
        }

        @Override
        public CompletionStage<FleetAdministration.Outcome> setEvacuation(
                String zone, boolean active, CallerPresence operator) {
            return administration.setEvacuation(zone, active, operator);
        }

        @Override
        public CompletionStage<Boolean> announce(EndpointRecord record, CallerPresence caller) {
            return registry.announce(record, caller);
        }

        @Override
        public CompletionStage<Boolean> leave(EndpointLeave leave) {
            return registry.leave(leave);
        }

        @Override
        public List<Address> entriesFor(String zone, String region) {
            return EntryChoice.forCaller(directory.serving(), zone, region).stream()
                    .map(entry -> Address.parse(entry.getCallerAddress()))
                    .toList();
        }
    }
}
