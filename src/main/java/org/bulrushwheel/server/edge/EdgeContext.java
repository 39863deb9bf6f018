package org.bulrushwheel.server.edge;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import jdk.net.ExtendedSocketOptions;
import org.bulrushwheel.logic.fleet.FleetView;
import org.bulrushwheel.logic.placement.EndpointChooser;
import org.bulrushwheel.logic.retry.PoisonRegistry;
import org.bulrushwheel.logic.retry.WindowedRetryBudget;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.decision.Decision;
import org.bulrushwheel.model.decision.DecisionField;
import org.bulrushwheel.model.decision.DecisionKind;
import org.bulrushwheel.model.decision.DecisionSink;
import org.bulrushwheel.model.instance.Address;
import org.bulrushwheel.model.proto.PoisonRecord;
import org.bulrushwheel.model.proto.SeenLoad;
import org.bulrushwheel.model.traffic.Endpoint;

/**
 * What the exchanges of an entry instance share.
 *
 * <p>Not thread safe: one event loop uses it.
 */
final class EdgeContext {
    // Beyond two ways between regions a silent address is taken for dead and another endpoint is tried.
    private static final int CONNECT_TIMEOUT_MILLIS = 400;

    // Connections may go silent without an end; probes show it within about three seconds.
    private static final int KEEP_ALIVE_IDLE_SECONDS = 1;
    private static final int KEEP_ALIVE_PROBES = 2;

    // Two more such pauses lie on the way; in the model loads help when they are 0.3 s old, and hardly at 1 s.
    private static final long TELL_LOADS_MILLIS = 100;

    private final EdgeSettings settings;
    private final EdgeHeaders names;
    private final AnswerReader answers;
    private final EventLoop loop;
    private final TimeSource time;
    private final MetricRegistry metrics;
    private final EndpointChooser chooser;
    private final Bootstrap bootstrap;
    private final Map<String, EndpointPool> poolsByEndpoint = new HashMap<>();
    private final Map<String, WindowedRetryBudget> budgetsByService = new HashMap<>();
    private final PoisonRegistry poison = new PoisonRegistry();
    private final DecisionSink decisions;
    private Consumer<PoisonRecord> poisonListener = record -> {};
    private Consumer<List<SeenLoad>> loadListener = loads -> {};
    private boolean tellingLoads;
    private LongSupplier viewAge = () -> 0;
    private FleetView view = FleetView.empty();

    EdgeContext(
            EdgeSettings settings,
            EdgeHeaders names,
            EventLoop loop,
            TimeSource time,
            MetricRegistry metrics,
            DecisionSink decisions) {
        this.decisions = decisions;
        this.settings = settings;
        this.names = names;
        this.answers = new AnswerReader(names);
        this.loop = loop;
        this.time = time;
        this.metrics = metrics;
        this.chooser = new EndpointChooser(settings.placement());
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_IDLE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    }

    EdgeHeaders names() {
        return names;
    }

    AnswerReader answers() {
        return answers;
    }

    FleetView view() {
        return view;
    }

    EndpointChooser chooser() {
        return chooser;
    }

    long nowMillis() {
        return time.monotonicMillis();
    }

    Future<?> after(long delayMillis, Runnable work) {
        return loop.schedule(work, Math.max(0, delayMillis), TimeUnit.MILLISECONDS);
    }

    void count(String name) {
        metrics.counter(name).inc();
    }

    void took(String name, long millis) {
        metrics.timer(name).update(millis, TimeUnit.MILLISECONDS);
    }

    void record(Decision decision) {
        decisions.record(decision);
    }

    /** Sets how old the view is, in milliseconds. */
    void onViewAge(LongSupplier age) {
        viewAge = age;
    }

    long viewAgeMillis() {
        return viewAge.getAsLong();
    }

    /** Avoids an endpoint for a while. */
    void judge(Endpoint endpoint, String reason) {
        long suspendedMillis = chooser.failed(endpoint, nowMillis());
        record(Decision.of(DecisionKind.ENDPOINT_JUDGED)
                .with(DecisionField.ENDPOINT, endpoint.id())
                .with(DecisionField.SERVICE, endpoint.service())
                .with(DecisionField.REASON, reason)
                .with(DecisionField.SUSPENDED_MILLIS, suspendedMillis)
                .with(DecisionField.LOAD, chooser.loadEstimate(endpoint, nowMillis())));
    }

    EndpointPool poolOf(Endpoint endpoint) {
        return poolsByEndpoint.computeIfAbsent(
                endpoint.id(), id -> new EndpointPool(Address.parse(endpoint.address()), bootstrap, names, time));
    }

    WindowedRetryBudget budgetOf(String service) {
        return budgetsByService.computeIfAbsent(
                service,
                name -> new WindowedRetryBudget(
                        settings.retryWindowMillis(), settings.retryRatio(), settings.retrySlack()));
    }

    /** Sets who tells the other instances of loads of endpoints. */
    void onLoads(Consumer<List<SeenLoad>> listener) {
        loadListener = listener;
    }

    /** Takes what another instance has seen of endpoints' loads. */
    void hearLoads(List<SeenLoad> loads) {
        long nowMillis = nowMillis();
        loads.forEach(load -> chooser.heard(load, nowMillis));
    }

    /** Takes what an endpoint said of its load. */
    void loadReported(Endpoint endpoint, int runningAndWaiting) {
        boolean news = chooser.reported(endpoint, runningAndWaiting, nowMillis());
        if (news && !tellingLoads) {
            tellingLoads = true;
            after(TELL_LOADS_MILLIS, () -> {
                tellingLoads = false;
                loadListener.accept(chooser.takeNews(nowMillis()));
            });
        }
    }

    /** Sets who tells the other instances of requests that were in flight when endpoints broke off. */
    void onPoison(Consumer<PoisonRecord> listener) {
        poisonListener = listener;
    }

    /** Takes what another instance knows of a request. */
    void mergePoison(PoisonRecord record) {
        poison.merge(record, nowMillis());
    }

    /** Whether a request has broken too many endpoints to be sent to another. */
    boolean isPoison(CallerRequest request) {
        return !poison.isEmpty() && poison.isPoison(RequestFingerprint.of(request), nowMillis());
    }

    /** Notes that an endpoint broke off while it had a request. */
    void brokeOff(CallerRequest request, Endpoint endpoint) {
        poisonListener.accept(poison.onCrash(RequestFingerprint.of(request), endpoint.id(), nowMillis()));
    }

    /** Notes that an endpoint answered a request. */
    void answered(CallerRequest request) {
        if (!poison.isEmpty()) {
            poison.onAnswer(RequestFingerprint.of(request)).ifPresent(poisonListener);
        }
    }

    void use(FleetView newView) {
        view = newView;
        chooser.use(newView);
        poolsByEndpoint.entrySet().removeIf(entry -> {
            boolean ended = !newView.hasEndpoint(entry.getKey());
            if (ended) {
                entry.getValue().close();
            }
            return ended;
        });
    }

    void closeExpired() {
        poolsByEndpoint.values().forEach(EndpointPool::closeExpired);
    }
}
