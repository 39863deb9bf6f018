package org.bulrushwheel.server.edge;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.vavr.control.Either;
import org.bulrushwheel.logic.fleet.FleetView;
import org.bulrushwheel.logic.fleet.SplitChoice;
import org.bulrushwheel.logic.placement.PlacementQuery;
import org.bulrushwheel.logic.retry.RetryAfter;
import org.bulrushwheel.model.traffic.Endpoint;
import org.bulrushwheel.model.traffic.RouteKind;
import org.bulrushwheel.model.traffic.TrafficRoute;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Processing of one request of a caller, from routing to the final response, including retries.
 *
 * <p>Invariants: exactly one response is delivered, whole or as a stream, unless the caller has disconnected; status 503
 * is used only if no byte can have reached an endpoint or every endpoint reported that it did not run the request; a
 * request that must run at most once is never sent again after an endpoint may have run it. An exception or error in a
 * step ends this request with an answer or, if not even that is possible, with its connection. Not thread safe: confined
 * to one event loop.
 */
final class Exchange {
    private static final Logger LOGGER = LoggerFactory.getLogger(Exchange.class);

    /** Outcome reason of a request for which an endpoint's response was passed on. */
    static final String ANSWERED = "answered";

    private static final String STOPPING = "stopping";
    private static final String STOP_ENDED = "stop-ended";

    private static final long MIN_ATTEMPT_MILLIS = 5;
    private static final int MAX_CONNECT_FAILURES = 5;
    private static final long RETRY_AFTER_NO_VIEW_MILLIS = 500;
    // Other instances can take the request at once.
    private static final long RETRY_AFTER_STOPPING_MILLIS = 50;
    // Recorded when no response was sent because the caller disconnected.
    private static final int NO_STATUS = 0;

    private final EdgeContext context;
    private final CallerRequest request;
    private final AnswerReceiver receiver;
    private final RequestTrail trail;
    private final RequestDeadline deadline;
    private final Set<String> triedEndpoints = new HashSet<>();
    private @Nullable TrafficRoute route;
    private String service = "";
    private long startedMillis;
    private int sentAttempts;
    private int connectFailures;
    private boolean mayHaveRun;
    private boolean connectionBroke;
    private boolean finished;
    private boolean callerLeft;
    private @Nullable EndpointConnection currentConnection;
    private @Nullable Endpoint currentEndpoint;
    private @Nullable EdgeAnswer lastAnswer;
    private @Nullable AnswerStream streamToCaller;

    Exchange(EdgeContext context, CallerRequest request, AnswerReceiver receiver) {
        this.context = context;
        this.request = request;
        this.receiver = receiver;
        this.trail = new RequestTrail(context, request, requestId());
        this.deadline =
                new RequestDeadline(context, request, () -> currentConnection != null, () -> guard(this::onDeadline));
    }

    /**
     * Returns whether the request must not be started before the preceding requests on its connection have been
     * answered.
     */
    static boolean mustWaitForPreceding(EdgeContext context, CallerRequest request) {
        return context.view()
                .routes()
                .flatMap(routes -> routes.find(request.host(), request.path()))
                .map(found -> found.kind() == RouteKind.ONCE)
                .orElse(false);
    }

    void start() {
        guard(this::begin);
    }

    private void begin() {
        startedMillis = context.nowMillis();
        FleetView view = context.view();
        if (view.routes().isEmpty()) {
            finish(
                    EdgeAnswer.refusal(
                            "this instance has not received a configuration yet", RETRY_AFTER_NO_VIEW_MILLIS),
                    "no-configuration");
            return;
        }
        Optional<TrafficRoute> found = view.routes().get().find(request.host(), request.path());
        if (found.isEmpty()) {
            finish(EdgeAnswer.localReply(404, "no route matches this host and path"), "no-route");
            return;
        }
        if (context.isPoison(request)) {
            finish(
                    EdgeAnswer.localReply(503, "several endpoints closed the connection on this request; not run"),
                    "poison");
            return;
        }
        route = found.get();
        service = SplitChoice.of(found.get(), requestId());
        deadline.begin(found.get());
        trail.admitted(found.get(), service, deadline.millis());
        context.budgetOf(service).onRequest(context.nowMillis());
        deadline.check();
        attempt();
    }

    /**
     * Handles a disconnect of the caller: cancels a repeatable request, but lets an in-flight request that must run at
     * most once complete.
     */
    void cancel() {
        guard(this::onCallerLeft);
    }

    private void onCallerLeft() {
        if (finished) {
            return;
        }
        callerLeft = true;
        context.count("edge.callers.left");
        boolean once = route != null && route.kind() == RouteKind.ONCE;
        if (currentConnection == null || !once || streamToCaller != null) {
            boolean inFlight = currentConnection != null;
            abortCurrent();
            close();
            trail.completed(NO_STATUS, "caller-left", mayHaveRun || inFlight, true);
        }
    }

    /** Answers a request that is still unanswered when the process stops. */
    void endWithProcess() {
        guard(this::onProcessEnds);
    }

    private void onProcessEnds() {
        if (finished) {
            return;
        }
        mayHaveRun = mayHaveRun || currentConnection != null;
        AnswerStream begun = streamToCaller;
        abortCurrent();
        if (begun != null) {
            breakOff(begun, STOP_ENDED);
        } else {
            giveUp(STOP_ENDED);
        }
    }

    private void attempt() {
        if (!finished) {
            guard(this::startAttempt);
        }
    }

    /** Runs a step, so that a fault of this instance ends this request only and not others of its connection. */
    private void guard(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            onInternalError(e);
        }
    }

    private void onInternalError(Throwable cause) {
        try {
            context.count("edge.internal-errors");
            LOGGER.error("internal error request={} service={}", requestId(), service, cause);
            mayHaveRun = mayHaveRun || sentAttempts > 0;
            AnswerStream begun = streamToCaller;
            abortCurrent();
            if (currentEndpoint != null) {
                endAttempt(currentEndpoint);
            }
            if (begun != null && !finished) {
                breakOff(begun, "internal-error");
                return;
            }
            finish(EdgeAnswer.internalError(mayHaveRun), "internal-error");
        } catch (RuntimeException | Error e) {
            e.addSuppressed(cause);
            LOGGER.error("a request ends with its connection after internal errors", e);
            close();
            receiver.onFailure();
        }
    }

    private void startAttempt() {
        long nowMillis = context.nowMillis();
        if (deadline.remainingMillis() < MIN_ATTEMPT_MILLIS) {
            deadline.check();
            return;
        }
        TrafficRoute chosenRoute = java.util.Objects.requireNonNull(route);
        if (!context.endsBeforeStop(chosenRoute, deadline.millis())) {
            giveUp(STOPPING);
            return;
        }
        boolean isRetry = sentAttempts > 0;
        if (isRetry && sentAttempts >= chosenRoute.maxAttempts()) {
            giveUp("attempts-spent");
            return;
        }
        PlacementQuery query = queryOf(chosenRoute);
        Optional<Endpoint> choice = context.chooser().choose(query, nowMillis);
        if (choice.isEmpty()) {
            giveUp("no-endpoint");
            return;
        }
        if (isRetry
                && !context.budgetOf(service).tryRetry(nowMillis, context.view().entryInstances())) {
            giveUp("retry-budget-spent");
            return;
        }
        Endpoint endpoint = choice.get();
        triedEndpoints.add(endpoint.id());
        currentEndpoint = endpoint;
        context.chooser().onSent(endpoint, query, nowMillis);
        EndpointPool pool = context.poolOf(endpoint);
        if (connectionBroke) {
            // A second break on a reused connection could not be told from a request that crashes endpoints.
            pool.acquireNew(acquired -> guard(() -> onConnection(endpoint, acquired)));
        } else {
            pool.acquire(requestId(), acquired -> guard(() -> onConnection(endpoint, acquired)));
        }
    }

    private void onConnection(Endpoint endpoint, Either<ConnectFailure, EndpointConnection> acquired) {
        if (finished || (callerLeft && acquired.isRight())) {
            acquired.forEach(EndpointConnection::close);
            endAttempt(endpoint);
            close();
            return;
        }
        if (acquired.isLeft()) {
            endAttempt(endpoint);
            trail.attemptFailed(endpoint, "connect-failed");
            if (acquired.getLeft().blamesEndpoint()) {
                context.suspend(endpoint, "connect-failed");
            }
            if (++connectFailures >= MAX_CONNECT_FAILURES) {
                giveUp("connect-failed");
            } else {
                attempt();
            }
            return;
        }
        if (!context.view().isUsable(endpoint) || context.chooser().isHeld(endpoint, context.nowMillis())) {
            acquired.get().close();
            endAttempt(endpoint);
            // Nothing was sent, and a new incarnation may have the same id.
            triedEndpoints.remove(endpoint.id());
            attempt();
            return;
        }
        send(endpoint, acquired.get());
    }

    private void send(Endpoint endpoint, EndpointConnection connection) {
        long nowMillis = context.nowMillis();
        HttpHeaders headers = HopHeaders.endToEnd(request.headers());
        headers.set(context.headerNames().deadlineMillis(), Long.toString(Math.max(1, deadline.millis() - nowMillis)));
        headers.set(context.headerNames().expectedInstance(), endpoint.id());
        currentConnection = connection;
        sentAttempts++;
        trail.dispatched(endpoint, connection, sentAttempts, deadline.millis() - nowMillis);
        connection.send(request, headers, new AttemptListener() {
            @Override
            public void onAnswer(EdgeAnswer answer) {
                guard(() -> onAttemptAnswered(endpoint, answer, nowMillis));
            }

            @Override
            public boolean needsBody(HttpResponse head) {
                return !context.answerReader().isNotRun(head.status(), head.headers())
                        && !context.answerReader().isUnsigned(head.headers());
            }

            @Override
            public Optional<AnswerStream> onLargeAnswer(HttpResponse head, PausableSource source) {
                try {
                    return beginStream(endpoint, head, source, nowMillis);
                } catch (RuntimeException | Error e) {
                    onInternalError(e);
                    return Optional.empty();
                }
            }

            @Override
            public void onConnectionFailure(String reason, boolean answerBegun) {
                guard(() -> onAttemptFailed(endpoint, reason, !answerBegun));
            }
        });
    }

    private void onAttemptAnswered(Endpoint endpoint, EdgeAnswer answer, long sentMillis) {
        endAttempt(endpoint);
        if (finished) {
            answer.body().release();
            return;
        }
        long nowMillis = context.nowMillis();
        answer.releaseIfFails(() -> context.onEndpointSays(endpoint, answer));
        if (context.answerReader().isNotRun(answer)) {
            answer.body().release();
            if (context.answerReader().isMisdirected(answer)) {
                context.suspend(endpoint, "other-endpoint");
            }
            trail.attemptFailed(endpoint, "not-executed");
            attempt();
            return;
        }
        if (context.answerReader().isUnsigned(answer)) {
            answer.body().release();
            onAttemptFailed(endpoint, "answer without signature", false);
            return;
        }
        answer.releaseIfFails(() -> context.onRequestAnswered(request));
        boolean serverError = answer.status().code() >= 500;
        if (serverError && isRepeatable()) {
            replaceLastAnswer(answer);
            mayHaveRun = true;
            trail.attemptFailed(endpoint, "server-error");
            attempt();
            return;
        }
        if (!serverError) {
            context.chooser()
                    .onAnswer(endpoint, java.util.Objects.requireNonNull(route).name(), nowMillis - sentMillis);
        }
        finish(answer, ANSWERED);
    }

    /** Passes on an answer while it arrives. Only a successful one: the others may still be replaced by a retry. */
    private Optional<AnswerStream> beginStream(
            Endpoint endpoint, HttpResponse head, PausableSource source, long sentMillis) {
        EdgeAnswer answer = new EdgeAnswer(head.status(), head.headers(), Unpooled.EMPTY_BUFFER);
        boolean isFinal = head.status().codeClass() == HttpStatusClass.SUCCESS
                && !context.answerReader().isNotRun(answer)
                && !context.answerReader().isUnsigned(answer);
        if (!isFinal || finished || callerLeft) {
            return Optional.empty();
        }
        Optional<AnswerStream> begun = receiver.onLargeAnswer(head.status(), head.headers(), source);
        begun.ifPresent(toCaller -> {
            streamToCaller = toCaller;
            context.onEndpointSays(endpoint, answer);
            context.onRequestAnswered(request);
            context.chooser()
                    .onAnswer(
                            endpoint, java.util.Objects.requireNonNull(route).name(), context.nowMillis() - sentMillis);
        });
        return begun.map(toCaller -> new TrackedStream(
                toCaller, whole -> onStreamEnded(endpoint, head.status().code(), whole)));
    }

    private void onStreamEnded(Endpoint endpoint, int status, boolean whole) {
        if (!whole) {
            context.suspend(endpoint, "stream-broken");
        }
        endStream(endpoint, status, whole ? ANSWERED : "stream-broken");
    }

    private void endStream(Endpoint endpoint, int status, String reason) {
        if (finished) {
            return;
        }
        endAttempt(endpoint);
        mayHaveRun = true;
        recordAnswerTime();
        close();
        trail.completed(status, reason, true, callerLeft);
    }

    private void onAttemptFailed(Endpoint endpoint, String reason, boolean mayHaveCrashed) {
        if (currentConnection != null) {
            endAttempt(endpoint);
        }
        if (finished) {
            return;
        }
        mayHaveRun = true;
        trail.attemptFailed(endpoint, "broken");
        context.suspend(endpoint, reason);
        connectionBroke = true;
        if (mayHaveCrashed) {
            context.onEndpointCrash(request, endpoint);
        }
        if (isRepeatable() && context.isPoison(request)) {
            giveUp("poison");
        } else if (isRepeatable()) {
            attempt();
        } else {
            finish(
                    EdgeAnswer.localReply(502, "the connection to the endpoint failed; the request may have run"),
                    "broken");
        }
    }

    private void giveUp(String reason) {
        if (lastAnswer != null) {
            EdgeAnswer answer = lastAnswer;
            lastAnswer = null;
            finish(answer, reason);
        } else if (mayHaveRun) {
            finish(EdgeAnswer.localReply(502, "no endpoint returned an answer; the request may have run"), reason);
        } else if (reason.equals(STOPPING) || reason.equals(STOP_ENDED)) {
            finish(
                    EdgeAnswer.refusal(
                            "this instance is stopping; not run, send the request to another instance",
                            RETRY_AFTER_STOPPING_MILLIS),
                    reason);
        } else {
            finish(EdgeAnswer.refusal("no endpoint can accept the request now; not run", retryAfterMillis()), reason);
        }
    }

    private long retryAfterMillis() {
        long nowMillis = context.nowMillis();
        PlacementQuery query = queryOf(java.util.Objects.requireNonNull(route));
        OptionalLong pauseMillis = context.chooser().pauseMillis(query, nowMillis);
        if (pauseMillis.isPresent()) {
            return RetryAfter.afterPauseMillis(pauseMillis.getAsLong(), requestId());
        }
        return RetryAfter.millis(
                context.chooser().minWaitMillis(query, nowMillis), deadline.callerMillis() - nowMillis);
    }

    private PlacementQuery queryOf(TrafficRoute chosenRoute) {
        Optional<String> key =
                request.header(context.headerNames().affinityKey()).filter(ignored -> chosenRoute.affinity());
        return new PlacementQuery(chosenRoute, service, key.orElse(requestId()), key.isPresent(), triedEndpoints);
    }

    private void onDeadline() {
        if (finished) {
            return;
        }
        mayHaveRun = mayHaveRun || currentConnection != null;
        AnswerStream begun = streamToCaller;
        abortCurrent();
        if (begun != null) {
            breakOff(begun, "deadline");
            return;
        }
        if (lastAnswer != null || !mayHaveRun) {
            giveUp("deadline");
        } else {
            finish(EdgeAnswer.localReply(504, "no answer before the deadline; the request may have run"), "deadline");
        }
    }

    private void breakOff(AnswerStream begun, String reason) {
        try {
            close();
            trail.completed(NO_STATUS, reason, true, callerLeft);
        } finally {
            begun.breakOff();
        }
    }

    private void finish(EdgeAnswer answer, String reason) {
        if (finished) {
            answer.body().release();
            return;
        }
        boolean hasCallerLeft = callerLeft;
        try {
            close();
            recordAnswerTime();
            trail.completed(answer.status().code(), reason, mayHaveRun, hasCallerLeft);
        } finally {
            if (hasCallerLeft) {
                answer.body().release();
            } else {
                receiver.onAnswer(answer);
            }
        }
    }

    private void recordAnswerTime() {
        if (sentAttempts > 0) {
            context.onAnswerTime(java.util.Objects.requireNonNull(route), context.nowMillis() - startedMillis);
        }
    }

    private void close() {
        if (finished) {
            return;
        }
        finished = true;
        deadline.cancel();
        if (lastAnswer != null) {
            lastAnswer.body().release();
            lastAnswer = null;
        }
        request.body().release();
    }

    private void abortCurrent() {
        EndpointConnection connection = currentConnection;
        Endpoint endpoint = currentEndpoint;
        if (connection != null && endpoint != null) {
            endAttempt(endpoint);
            connection.abort();
        }
    }

    private void endAttempt(Endpoint endpoint) {
        currentConnection = null;
        currentEndpoint = null;
        context.chooser().onEnded(endpoint);
    }

    private void replaceLastAnswer(EdgeAnswer answer) {
        if (lastAnswer != null) {
            lastAnswer.body().release();
        }
        lastAnswer = answer;
    }

    private boolean isRepeatable() {
        return java.util.Objects.requireNonNull(route).kind() == RouteKind.REPEATABLE;
    }

    private String requestId() {
        return request.header(context.headerNames().requestId()).orElse("");
    }
}
