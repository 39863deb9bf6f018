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
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import org.bulrushwheel.kernel.KernelService;
import org.bulrushwheel.logic.fleet.FleetView;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.decision.DecisionSink;
import org.bulrushwheel.model.proto.PoisonRecord;
import org.bulrushwheel.model.proto.SeenLoad;
import org.bulrushwheel.model.traffic.CallerLimits;
import org.bulrushwheel.model.traffic.TrafficConfiguration;
import org.jspecify.annotations.Nullable;

/**
 * Listener for callers' requests.
 *
 * <p>Invariant: everything behind it runs on one event loop. Thread safe.
 */
public final class EdgeServer implements KernelService {
    /** Name in the kernel. */
    public static final String NAME = "edge";

    private static final int BACKLOG = 1_024;
    private static final long SWEEP_MILLIS = 500;
    // By then callers have heard from the look-up that this instance leaves.
    private static final long LISTEN_WHILE_DRAINING_MILLIS = 2_200;
    private static final long IDLE_WHILE_DRAINING_MILLIS = 300;
    private static final long DRAIN_POLL_MILLIS = 50;

    private final EdgeSettings settings;
    private final EventLoop loop;
    private final EdgeContext context;
    private final Set<CallerConnection> connections = new HashSet<>();
    private @Nullable Channel listener;
    private volatile boolean draining;
    private volatile int busy;

    /** A listener that carries requests by the view that it is given. */
    public EdgeServer(
            EdgeSettings settings,
            EdgeHeaders names,
            EventLoop loop,
            TimeSource time,
            MetricRegistry metrics,
            DecisionSink decisions) {
        this.settings = settings;
        this.loop = loop;
        this.context = new EdgeContext(settings, names, loop, time, metrics, decisions);
    }

    @Override
    public String name() {
        return NAME;
    }

    /** Takes a new view of the fleet; called on the event loop. */
    public void use(FleetView view) {
        context.use(view);
    }

    /** Sets how old the view is, in milliseconds; to be called before the start. */
    public void onViewAge(LongSupplier age) {
        context.onViewAge(age);
    }

    /** Sets who tells the other instances of requests that were in flight when endpoints broke off. */
    public void onPoison(Consumer<PoisonRecord> listener) {
        context.onPoison(listener);
    }

    /** Sets who tells the other instances of loads of endpoints; called on the event loop. */
    public void onLoads(Consumer<List<SeenLoad>> listener) {
        context.onLoads(listener);
    }

    /** Takes what another instance has seen of endpoints' loads; called on the event loop. */
    public void hearLoads(List<SeenLoad> loads) {
        context.hearLoads(loads);
    }

    /** Takes what another instance knows of a request; called on the event loop. */
    public void mergePoison(PoisonRecord record) {
        context.mergePoison(record);
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
                        channel.pipeline()
                                .addLast(new HttpServerCodec(decoderConfig()))
                                .addLast(new CallerConnection(context, EdgeServer.this));
                    }
                })
                .bind(settings.listen().toSocketAddress())
                .syncUninterruptibly()
                .channel();
        loop.scheduleWithFixedDelay(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Serves what is in flight and what still comes, then closes the listener and waits until nothing is in flight. */
    @Override
    public void drain(long deadlineNanos) {
        draining = true;
        loop.schedule(this::sweep, IDLE_WHILE_DRAINING_MILLIS, TimeUnit.MILLISECONDS);
        sleepUntil(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LISTEN_WHILE_DRAINING_MILLIS), deadlineNanos);
        if (listener != null) {
            listener.close().awaitUninterruptibly(DRAIN_POLL_MILLIS);
        }
        do {
            loop.submit(this::sweep).awaitUninterruptibly();
            sleepUntil(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DRAIN_POLL_MILLIS), deadlineNanos);
        } while (busy > 0 && System.nanoTime() - deadlineNanos < 0);
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

    void opened(CallerConnection connection) {
        connections.add(connection);
    }

    void closed(CallerConnection connection) {
        connections.remove(connection);
    }

    private void sweep() {
        List.copyOf(connections).forEach(connection -> connection.closeIfIdle(draining));
        context.closeExpired();
        busy = (int) connections.stream().filter(CallerConnection::isBusy).count();
    }

    private HttpDecoderConfig decoderConfig() {
        CallerLimits limits =
                context.view().traffic().map(TrafficConfiguration::limits).orElse(CallerLimits.DEFAULT);
        return new HttpDecoderConfig()
                .setMaxInitialLineLength(limits.maxHeaderBytes())
                .setMaxHeaderSize(limits.maxHeaderBytes());
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
