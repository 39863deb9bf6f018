package org.bulrushwheel.daemon;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.bulrushwheel.kernel.DecisionLog;
import org.bulrushwheel.kernel.Kernel;
import org.bulrushwheel.kernel.StallMonitor;
import org.bulrushwheel.logic.placement.PlacementSettings;
import org.bulrushwheel.logic.time.SystemTimeSource;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.instance.Address;
import org.bulrushwheel.model.proto.EntryRecord;
import org.bulrushwheel.model.settings.FleetSettings;
import org.bulrushwheel.server.api.ApiCapacity;
import org.bulrushwheel.server.api.ApiServer;
import org.bulrushwheel.server.edge.EdgeServer;
import org.bulrushwheel.server.edge.EdgeSettings;
import org.bulrushwheel.server.fleet.FleetSubscription;
import org.bulrushwheel.wire.PeerNetwork;

/**
 * Entry instance of a deployment whose instances find each other through seeds. A single event loop does all its work.
 *
 * <p>Thread safe; {@link #start()} and {@link #close()} are called once.
 */
public final class EdgeDaemon implements AutoCloseable {
    // Share of the stop grace period that is reserved for the exit of the process itself.
    private static final long PROCESS_EXIT_MILLIS = 400;

    private final FleetSettings settings;
    private final Kernel kernel;

    /** Assembles the services of a process with these settings; none of them runs before {@link #start()}. */
    public EdgeDaemon(FleetSettings settings, SettingsWatch watch, FleetInterfaces interfaces) {
        this.settings = settings;
        MetricRegistry metrics = new MetricRegistry();
        TimeSource time = new SystemTimeSource();
        DecisionLog decisions = new DecisionLog(settings.instance(), time);
        kernel = new Kernel(decisions);
        watch.setDecisionSink(decisions);
        EventLoopGroup loops = new MultiThreadIoEventLoopGroup(
                1, new DefaultThreadFactory("network", true), NioIoHandler.newFactory());
        EventLoop loop = (EventLoop) loops.next();
        PeerNetwork peers = kernel.register(
                new PeerNetwork(settings.peerAddress(), Address.parse(settings.peerAddress()), loops, metrics));
        String callerAddress = java.util.Objects.requireNonNull(settings.callerAddress(), "callerAddress is missing");
        EdgeServer edge = kernel.register(
                new EdgeServer(edgeSettings(callerAddress), interfaces.headers(), loop, time, metrics, decisions));
        FleetSubscription subscription = kernel.register(new FleetSubscription(
                EntryRecord.newBuilder()
                        .setPeerAddress(settings.peerAddress())
                        .setZone(settings.zone())
                        .setRegion(settings.region())
                        .setCallerAddress(callerAddress)
                        .setIncarnation(time.epochMillis())
                        .build(),
                () -> watch.current().seedPeers(),
                settings.regionsByZone(),
                interfaces.trafficCodec(),
                peers,
                loop,
                time,
                metrics,
                decisions));
        edge.setViewAge(subscription::viewAgeMillis);
        edge.setArrivalDelay(subscription::arrivalDelayMillis);
        subscription.onView(edge::updateView);
        subscription.setPoisonListener(edge::mergePoison);
        edge.setPoisonListener(subscription::publishPoisonRecord);
        subscription.setSuspects(edge::suspects);
        subscription.setLoadListener(edge::mergeLoads);
        edge.setLoadListener(subscription::publishLoads);
        ApiCapacity capacity = new ApiCapacity(Runtime.getRuntime().maxMemory(), metrics);
        kernel.register(new ApiServer(
                "readiness-api",
                Address.parse(
                        java.util.Objects.requireNonNull(settings.readinessAddress(), "readinessAddress is missing")),
                loops,
                interfaces.readiness(subscription::isReady),
                capacity,
                ApiServer.MAX_SMALL_BODY_BYTES,
                metrics));
        metrics.gauge("view.age.millis", () -> subscription::viewAgeMillis);
        metrics.gauge(
                "view.configuration.version", () -> () -> subscription.view().trafficVersion());
        metrics.gauge("view.endpoints", () -> () -> subscription.view().endpointCount());
        metrics.gauge("log.decisions.sampled-out", () -> decisions::sampledOut);
        kernel.register(new StallMonitor(time, metrics, decisions));
        MetricsListener.register(kernel, settings, loops, capacity, metrics);
    }

    /** Starts every service. */
    public void start() {
        kernel.start();
    }

    /** Withdraws from look-ups, completes the requests in flight and stops, within the stop grace period. */
    @Override
    public void close() {
        long drainMillis = settings.bounds().stopGraceMillis() - PROCESS_EXIT_MILLIS;
        kernel.stop(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(drainMillis));
    }

    private EdgeSettings edgeSettings(String callerAddress) {
        return new EdgeSettings(
                Address.parse(callerAddress),
                new PlacementSettings(
                        settings.instance(),
                        settings.region(),
                        settings.regions(),
                        settings.bounds().coldLoadFactor(),
                        settings.bounds().coldSlackRequests()),
                settings.bounds().retryWindowMillis(),
                settings.bounds().retryRatio(),
                settings.bounds().retrySlack(),
                settings.linkBytesPerSecond(),
                EdgeSettings.maxHeldBytesOfProcess());
    }
}
