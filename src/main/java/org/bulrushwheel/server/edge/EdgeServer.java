package org.bulrushwheel.server.edge;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import org.bulrushwheel.kernel.KernelService;
import org.bulrushwheel.logic.fleet.FleetView;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.decision.DecisionSink;
import org.bulrushwheel.model.proto.PoisonRecord;
import org.bulrushwheel.model.proto.SeenLoad;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * HTTP server for callers' requests.
 *
 * <p>Invariant: all requests are processed on one event loop. Thread safe, except for the methods that must be called
 * on the event loop or before the start.
 */
public final class EdgeServer implements KernelService {
    /** Service name in the kernel. */
    public static final String NAME = "edge";

    private static final Logger LOGGER = LoggerFactory.getLogger(EdgeServer.class);
    private static final int BACKLOG = 1_024;
    private static final long SWEEP_MILLIS = 500;
    // By then callers have received lookup results that no longer contain this instance.
    private static final long LISTEN_WHILE_DRAINING_MILLIS = 2_200;
    private static final long DRAIN_POLL_MILLIS = 50;

    private final EdgeSettings settings;
    private final EventLoop loop;
    private final EdgeContext context;
    private final Set<CallerConnection> connections = new HashSet<>();
    private @Nullable Channel listener;
    private volatile boolean draining;
    private volatile boolean acceptsConnections = true;
    private volatile int openConnections;

    /** Creates a server that forwards requests according to the fleet view last set with {@link #updateView}. */
    public EdgeServer(
            EdgeSettings settings,
            EdgeHeaders headerNames,
            EventLoop loop,
            TimeSource time,
            MetricRegistry metrics,
            DecisionSink decisions) {
        this.settings = settings;
        this.loop = loop;
        this.context = new EdgeContext(settings, headerNames, loop, time, metrics, decisions);
    }

    @Override
    public String name() {
        return NAME;
    }

    /** Replaces the fleet view; must be called on the event loop. */
    public void updateView(FleetView view) {
        context.updateView(view);
    }

    /** Sets the supplier of the age of the fleet view in milliseconds; must be called before the start. */
    public void setViewAge(LongSupplier ageMillis) {
        context.setViewAge(ageMillis);
    }

    /**
     * Sets the supplier of how long what arrives now has waited in the link of this instance, in milliseconds; must be
     * called before the start.
     */
    public void setArrivalDelay(LongSupplier delayMillis) {
        context.setArrivalDelay(delayMillis);
    }

    /**
     * Sets the listener that informs the other instances about requests that were in flight when an endpoint closed the
     * connection.
     */
    public void setPoisonListener(Consumer<PoisonRecord> listener) {
        context.setPoisonListener(listener);
    }

    /** Sets the listener that sends endpoint loads to the other instances; it is called on the event loop. */
    public void setLoadListener(Consumer<List<SeenLoad>> listener) {
        context.setLoadListener(listener);
    }

    /** Merges endpoint loads observed by another instance; must be called on the event loop. */
    public void mergeLoads(List<SeenLoad> loads) {
        context.mergeLoads(loads);
    }

    /**
     * Merges another instance's record of a request that is suspected of crashing endpoints; must be called on the
     * event loop.
     */
    public void mergePoison(PoisonRecord record) {
        context.mergePoison(record);
    }

    /** Returns the records of the requests that are suspected of crashing endpoints. */
    public List<PoisonRecord> suspects() {
        return context.suspects();
    }

    @Override
    public void start() {
        listener = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        CallerConnection connection = new CallerConnection(context, EdgeServer.this);
                        channel.pipeline()
                                .addLast(connection.byteObserver())
                                .addLast(connection.decoder())
                                .addLast(connection.encoder())
                                .addLast(connection);
                    }
                })
                .bind(settings.listen().toSocketAddress())
                .syncUninterruptibly()
                .channel();
        loop.scheduleWithFixedDelay(this::sweepSafely, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Continues to accept requests until callers have learned from the lookup that this instance is leaving, then
     * closes the listener and waits until no caller is connected, but not beyond the deadline. Until the listener is
     * closed, only a response closes a connection; after that, a connection is also closed once it has been idle for so
     * long that no request can be on its way, and no request is read behind others, so that every connection ends.
     */
    @Override
    public void drain(long deadlineNanos) {
        draining = true;
        long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
        loop.execute(() -> context.setStopDeadline(context.nowMillis() + remainingMillis));
        sleepUntil(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LISTEN_WHILE_DRAINING_MILLIS), deadlineNanos);
        if (listener != null) {
            listener.close().awaitUninterruptibly(DRAIN_POLL_MILLIS);
        }
        acceptsConnections = false;
        do {
            loop.submit(this::sweep).awaitUninterruptibly();
            sleepUntil(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DRAIN_POLL_MILLIS), deadlineNanos);
        } while (openConnections > 0 && System.nanoTime() - deadlineNanos < 0);
        loop.submit(() -> List.copyOf(connections).forEach(CallerConnection::endWithProcess))
                .awaitUninterruptibly();
    }

    @Override
    public void stop() {
        if (listener != null) {
            listener.close().awaitUninterruptibly(DRAIN_POLL_MILLIS);
        }
    }

    boolean isDraining() {
        return draining;
    }

    /** Whether callers can still open connections; false in the second part of a drain. */
    boolean acceptsConnections() {
        return acceptsConnections;
    }

    void onConnectionOpened(CallerConnection connection) {
        connections.add(connection);
    }

    void onConnectionClosed(CallerConnection connection) {
        connections.remove(connection);
    }

    private void sweepSafely() {
        try {
            sweep();
        } catch (RuntimeException | Error e) {
            // Thrown on, it would end the sweeps.
            LOGGER.error("a sweep of the connections of callers has failed and is repeated", e);
        }
    }

    private void sweep() {
        List.copyOf(connections).forEach(connection -> connection.closeIfIdle(acceptsConnections));
        context.closeExpired();
        openConnections = connections.size();
    }

    private static void sleepUntil(long targetNanos, long deadlineNanos) {
        long untilNanos = targetNanos - deadlineNanos < 0 ? targetNanos : deadlineNanos;
        try {
            TimeUnit.NANOSECONDS.sleep(Math.max(0, untilNanos - System.nanoTime()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
