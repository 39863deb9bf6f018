package org.bulrushwheel.server.edge;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import jdk.net.ExtendedSocketOptions;
import org.bulrushwheel.logic.budget.LinkLoad;
import org.bulrushwheel.logic.fleet.FleetView;
import org.bulrushwheel.logic.placement.EndpointChooser;
import org.bulrushwheel.logic.placement.LongestAnswers;
import org.bulrushwheel.logic.retry.ConnectPatience;
import org.bulrushwheel.logic.retry.PoisonRegistry;
import org.bulrushwheel.logic.retry.RetryAfter;
import org.bulrushwheel.logic.retry.WindowedRetryBudget;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.decision.Decision;
import org.bulrushwheel.model.decision.DecisionField;
import org.bulrushwheel.model.decision.DecisionKind;
import org.bulrushwheel.model.decision.DecisionSink;
import org.bulrushwheel.model.proto.PoisonRecord;
import org.bulrushwheel.model.proto.SeenLoad;
import org.bulrushwheel.model.traffic.CallerLimits;
import org.bulrushwheel.model.traffic.Endpoint;
import org.bulrushwheel.model.traffic.ServicePolicy;
import org.bulrushwheel.model.traffic.TrafficConfiguration;
import org.bulrushwheel.model.traffic.TrafficRoute;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * State that all exchanges of an entry instance share: the fleet view, connection pools, retry budgets, the registry of
 * poison requests and the listeners for updates to other instances.
 *
 * <p>Not thread safe: confined to one event loop.
 */
final class EdgeContext {
    private static final Logger LOGGER = LoggerFactory.getLogger(EdgeContext.class);
    // TCP keep-alive detects connections whose peer vanished without closing them, within about three seconds.
    private static final int KEEP_ALIVE_IDLE_SECONDS = 1;
    private static final int KEEP_ALIVE_PROBES = 2;

    // An endpoint that sends without end must not keep the event loop from the other connections.
    private static final int READS_IN_A_ROW = 4;

    // Responses always find some room, so that the bodies of requests can leave again.
    private static final double REQUEST_FRACTION = 0.75;

    // Batches load updates. Two more delays of this kind follow before another instance receives them; in simulation,
    // load reports improve placement when they are 0.3 s old and hardly at 1 s.
    private static final long LOAD_UPDATE_DELAY_MILLIS = 100;

    private record Incarnation(String id, long bornEpochMillis, String address) {
        static Incarnation of(Endpoint endpoint) {
            return new Incarnation(endpoint.id(), endpoint.bornEpochMillis(), endpoint.address());
        }
    }

    private final EdgeSettings settings;
    private final EdgeHeaders headerNames;
    private final AnswerReader answerReader;
    private final EventLoop loop;
    private final TimeSource time;
    private final MetricRegistry metrics;
    private final EndpointChooser chooser;
    private final Bootstrap bootstrap;
    private final LinkLoad link;
    private final HeldBytes heldBytes;
    private final ResponseRoom responseRoom;
    private final HeldBytes heldRequestBytes;
    private final Map<Incarnation, EndpointPool> poolsByIncarnation = new HashMap<>();
    private final Map<String, WindowedRetryBudget> budgetsByService = new HashMap<>();
    private final PoisonRegistry poisonRegistry = new PoisonRegistry();
    private final SurvivalCheck survivalCheck = new SurvivalCheck(this, this::onSurvived);
    private final DecisionSink decisionSink;
    private Consumer<PoisonRecord> poisonListener = record -> {};
    private Consumer<List<SeenLoad>> loadListener = loads -> {};
    private final LongestAnswers longestAnswers = new LongestAnswers();
    private long stopDeadlineMillis = Long.MAX_VALUE;
    private boolean loadUpdateScheduled;
    private LongSupplier viewAge = () -> 0;
    private LongSupplier arrivalDelay = () -> 0;
    private FleetView view = FleetView.empty();

    EdgeContext(
            EdgeSettings settings,
            EdgeHeaders headerNames,
            EventLoop loop,
            TimeSource time,
            MetricRegistry metrics,
            DecisionSink decisionSink) {
        this.decisionSink = decisionSink;
        this.settings = settings;
        this.headerNames = headerNames;
        this.answerReader = new AnswerReader(headerNames);
        this.loop = loop;
        this.time = time;
        this.metrics = metrics;
        this.chooser = new EndpointChooser(settings.placement());
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator().maxMessagesPerRead(READS_IN_A_ROW))
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_IDLE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) ConnectPatience.maxTimeoutMillis());
        this.link = new LinkLoad(settings.linkBytesPerSecond());
        this.heldBytes = new HeldBytes(settings.maxHeldBytes());
        this.responseRoom = new ResponseRoom(heldBytes);
        this.heldRequestBytes = heldBytes.share((long) (settings.maxHeldBytes() * REQUEST_FRACTION));
        metrics.gauge("edge.held.bytes", () -> heldBytes::heldBytes);
        metrics.gauge("edge.held.limit.bytes", () -> heldBytes::limitBytes);
    }

    EdgeHeaders headerNames() {
        return headerNames;
    }

    AnswerReader answerReader() {
        return answerReader;
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

    Future<?> runAfter(long delayMillis, Runnable work) {
        return loop.schedule(work, Math.max(0, delayMillis), TimeUnit.MILLISECONDS);
    }

    void count(String name) {
        metrics.counter(name).inc();
    }

    void recordDuration(String name, long millis) {
        metrics.timer(name).update(millis, TimeUnit.MILLISECONDS);
    }

    void record(Decision decision) {
        decisionSink.record(decision);
    }

    /** Sets the supplier of the age of the fleet view in milliseconds. */
    void setViewAge(LongSupplier ageMillis) {
        viewAge = ageMillis;
    }

    /** Sets the supplier of how long what arrives now has waited in the link, in milliseconds. */
    void setArrivalDelay(LongSupplier delayMillis) {
        arrivalDelay = delayMillis;
    }

    /**
     * Returns how long what arrives now has waited in the link, in milliseconds; 0 while the link is not busy, since
     * other causes than the link delay the messages that show it as well.
     */
    long arrivalDelayMillis() {
        return link.isBusy(nowMillis()) ? arrivalDelay.getAsLong() : 0;
    }

    long viewAgeMillis() {
        return viewAge.getAsLong();
    }

    /** Suspends a failing endpoint from placement for a period set by the chooser, and records the decision. */
    void suspend(Endpoint endpoint, String reason) {
        long suspendedMillis = chooser.onFailure(endpoint, nowMillis());
        record(Decision.of(DecisionKind.ENDPOINT_JUDGED)
                .with(DecisionField.ENDPOINT, endpoint.id())
                .with(DecisionField.SERVICE, endpoint.service())
                .with(DecisionField.REASON, reason)
                .with(DecisionField.SUSPENDED_MILLIS, suspendedMillis)
                .with(DecisionField.LOAD, chooser.loadEstimate(endpoint, nowMillis())));
    }

    /** Handles what an endpoint says of itself in an answer: its load, that it leaves, or that it wants a pause. */
    void onEndpointSays(Endpoint endpoint, EdgeAnswer answer) {
        answerReader.load(answer).ifPresent(load -> onLoadReported(endpoint, load));
        if (answerReader.isLeaving(answer) && chooser.onLeaving(endpoint)) {
            poolOf(endpoint).close();
            recordHold(endpoint, "leaving");
        }
        answerReader.pause(answer).ifPresent(value -> {
            OptionalLong pauseMillis = RetryAfter.parseMillis(value);
            if (pauseMillis.isEmpty()) {
                count("edge.pauses.unreadable");
                LOGGER.debug("unreadable Retry-After endpoint={} value={}", endpoint.id(), value);
            } else if (chooser.onPause(endpoint, pauseMillis.getAsLong(), nowMillis())) {
                recordHold(endpoint, "pause");
            }
        });
    }

    private void recordHold(Endpoint endpoint, String reason) {
        count("edge.holds." + reason);
        OptionalLong pauseMillis = chooser.pauseMillis(endpoint, nowMillis());
        Decision decision = Decision.of(DecisionKind.ENDPOINT_JUDGED)
                .with(DecisionField.ENDPOINT, endpoint.id())
                .with(DecisionField.SERVICE, endpoint.service())
                .with(DecisionField.REASON, reason);
        record(
                pauseMillis.isPresent()
                        ? decision.with(DecisionField.SUSPENDED_MILLIS, pauseMillis.getAsLong())
                        : decision);
    }

    /** Returns the connections to an incarnation of an endpoint; those to another one are untouched. */
    EndpointPool poolOf(Endpoint endpoint) {
        return poolsByIncarnation.computeIfAbsent(
                Incarnation.of(endpoint),
                incarnation -> new EndpointPool(
                        endpoint,
                        bootstrap,
                        headerNames,
                        time,
                        link,
                        responseRoom,
                        () -> maxConnections(endpoint.service()),
                        dropped -> recordDropped(endpoint, dropped)));
    }

    /** Returns the limits of callers that are in force. */
    CallerLimits callerLimits() {
        return view.traffic().map(TrafficConfiguration::limits).orElse(CallerLimits.DEFAULT);
    }

    /** Returns the bound of the bodies of requests. */
    HeldBytes heldRequestBytes() {
        return heldRequestBytes;
    }

    /** Records that a request was refused since its body cannot be held now. */
    void recordNoRoom(HttpHeaders headers) {
        count("edge.outcomes." + DropReason.NO_ROOM.key());
        record(Decision.of(DecisionKind.REFUSED)
                .with(DecisionField.REQUEST, headers.get(headerNames.requestId(), ""))
                .with(DecisionField.REASON, DropReason.NO_ROOM.key())
                .with(DecisionField.STATUS, HttpResponseStatus.SERVICE_UNAVAILABLE.code())
                .with(DecisionField.MAY_HAVE_RUN, false)
                .asFailure());
    }

    private void recordDropped(Endpoint endpoint, DroppedResponse dropped) {
        count("edge.responses.dropped." + dropped.reason().key());
        Decision decision = Decision.of(DecisionKind.RESPONSE_DROPPED)
                .with(DecisionField.REQUEST, dropped.request())
                .with(DecisionField.REASON, dropped.reason().key())
                .with(DecisionField.ENDPOINT, endpoint.id())
                .with(DecisionField.CONNECTION, dropped.connection())
                .with(DecisionField.CONNECTION_REQUESTS, dropped.connectionRequests());
        if (dropped.status().isPresent()) {
            decision = decision.with(DecisionField.STATUS, dropped.status().get());
        }
        if (dropped.namedRequest().isPresent()) {
            decision = decision.with(
                    DecisionField.NAMED_REQUEST, dropped.namedRequest().get());
        }
        if (dropped.heldBytes() > 0) {
            decision = decision.with(DecisionField.HELD_BYTES, dropped.heldBytes());
        }
        record(decision.asFailure());
    }

    /** Returns this instance's equal share of the connections that an endpoint accepts from all instances together. */
    private int maxConnections(String service) {
        int ofAllInstances =
                view.policy(service).map(ServicePolicy::maxConnections).orElse(Integer.MAX_VALUE);
        return Math.max(1, ofAllInstances / view.entryInstances());
    }

    WindowedRetryBudget budgetOf(String service) {
        return budgetsByService.computeIfAbsent(
                service,
                name -> new WindowedRetryBudget(
                        settings.retryWindowMillis(), settings.retryRatio(), settings.retrySlack()));
    }

    /** Sets the listener that sends endpoint loads to the other instances. */
    void setLoadListener(Consumer<List<SeenLoad>> listener) {
        loadListener = listener;
    }

    /** Merges endpoint loads observed by another instance. */
    void mergeLoads(List<SeenLoad> loads) {
        long nowMillis = nowMillis();
        loads.forEach(load -> chooser.onPeerLoad(load, nowMillis));
    }

    /** Records the load that an endpoint reported, and schedules an update to the other instances if it is due. */
    void onLoadReported(Endpoint endpoint, int runningAndWaiting) {
        boolean changed = chooser.onLoadReport(endpoint, runningAndWaiting, nowMillis());
        if (changed && !loadUpdateScheduled) {
            loadUpdateScheduled = true;
            runAfter(LOAD_UPDATE_DELAY_MILLIS, () -> {
                loadUpdateScheduled = false;
                loadListener.accept(chooser.takeUnsentLoads(nowMillis()));
            });
        }
    }

    /**
     * Sets the listener that informs the other instances about requests that were in flight when an endpoint closed the
     * connection.
     */
    void setPoisonListener(Consumer<PoisonRecord> listener) {
        poisonListener = listener;
    }

    /** Merges another instance's record of a request that is suspected of crashing endpoints. */
    void mergePoison(PoisonRecord record) {
        poisonRegistry.merge(record, nowMillis());
    }

    /** Returns whether a request crashed too many endpoints to be sent to another one. */
    boolean isPoison(CallerRequest request) {
        return !poisonRegistry.isEmpty() && poisonRegistry.isPoison(RequestFingerprint.of(request), nowMillis());
    }

    /**
     * Records that an endpoint closed the connection while the request was in flight. A connection may break without a
     * crash, so the suspicion is withdrawn if the endpoint turns out to run on.
     */
    void onEndpointCrash(CallerRequest request, Endpoint endpoint) {
        String fingerprint = RequestFingerprint.of(request);
        poisonListener.accept(poisonRegistry.onCrash(fingerprint, endpoint.id(), nowMillis()));
        survivalCheck.begin(endpoint, fingerprint);
    }

    private void onSurvived(String fingerprint, String endpoint) {
        poisonRegistry.onSurvived(fingerprint, endpoint, nowMillis()).ifPresent(poisonListener);
    }

    /** Returns the records of the requests that are suspected now. */
    List<PoisonRecord> suspects() {
        return poisonRegistry.suspects(nowMillis());
    }

    /** Clears a request of the suspicion of crashing endpoints, because an endpoint answered it. */
    void onRequestAnswered(CallerRequest request) {
        if (!poisonRegistry.isEmpty()) {
            poisonRegistry.onAnswer(RequestFingerprint.of(request), nowMillis()).ifPresent(poisonListener);
        }
    }

    /** Records how long a request of a route took until it was answered. */
    void onAnswerTime(TrafficRoute route, long tookMillis) {
        longestAnswers.record(route.name(), tookMillis, nowMillis());
    }

    /** Sets the time at which this instance stops and can no longer answer a request. */
    void setStopDeadline(long newStopDeadlineMillis) {
        stopDeadlineMillis = newStopDeadlineMillis;
    }

    /**
     * Whether a request that is sent now ends before this instance stops, if it takes no longer than the recent ones of
     * its route.
     *
     * @param deadlineMillis time at which the request ends at the latest
     */
    boolean endsBeforeStop(TrafficRoute route, long deadlineMillis) {
        if (stopDeadlineMillis == Long.MAX_VALUE) {
            return true;
        }
        long nowMillis = nowMillis();
        OptionalLong longestMillis = longestAnswers.longestMillis(route.name(), nowMillis);
        long expectedEndMillis = longestMillis.isPresent() ? nowMillis + longestMillis.getAsLong() : deadlineMillis;
        return Math.min(expectedEndMillis, deadlineMillis) <= stopDeadlineMillis;
    }

    void updateView(FleetView newView) {
        view = newView;
        chooser.setView(newView);
        endPoolsOfOthers();
    }

    void closeExpired() {
        poolsByIncarnation.values().forEach(EndpointPool::closeExpired);
        endPoolsOfOthers();
    }

    /** Ends the pools to incarnations that are not in the view; their connections end when they become idle. */
    private void endPoolsOfOthers() {
        poolsByIncarnation.entrySet().removeIf(entry -> {
            Incarnation incarnation = entry.getKey();
            boolean ends = !view.endpoint(incarnation.id()).map(Incarnation::of).equals(Optional.of(incarnation));
            if (ends) {
                entry.getValue().close();
            }
            return ends;
        });
    }
}
