package org.bulrushwheel.server.edge;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.Future;
import io.vavr.control.Either;
import org.bulrushwheel.logic.fleet.FleetView;
import org.bulrushwheel.logic.fleet.SplitChoice;
import org.bulrushwheel.logic.placement.PlacementQuery;
import org.bulrushwheel.logic.retry.RetryAfter;
import org.bulrushwheel.model.traffic.Endpoint;
import org.bulrushwheel.model.traffic.RouteKind;
import org.bulrushwheel.model.traffic.TrafficRoute;
import org.jspecify.annotations.Nullable;

/**
 * One request of a caller from its route to its one answer.
 *
 * <p>Invariants: it is answered exactly once, unless the caller has gone; 503 is answered only when no byte can have
 * reached an endpoint or every endpoint said that it did not run the request; a request that may run once is never sent
 * again after an endpoint may have run it. Not thread safe: one event loop drives it.
 */
final class Exchange {
    /** Reason of the outcome of a request that got an endpoint's answer. */
    static final String ANSWERED = "answered";

    // An endpoint's own answer at the deadline is still on its way then.
    private static final long DELIVERY_MILLIS = 100;
    private static final long LEAST_USEFUL_MILLIS = 5;
    private static final int MAX_CONNECT_FAILURES = 5;
    private static final long RETRY_AFTER_NO_VIEW_MILLIS = 500;
    // Nothing was answered.
    private static final int CALLER_GONE_STATUS = 0;

    private final EdgeContext context;
    private final CallerRequest request;
    private final Consumer<EdgeAnswer> taker;
    private final RequestTrail trail;
    private final Set<String> tried = new HashSet<>();
    private @Nullable TrafficRoute route;
    private String service = "";
    private long deadlineMillis;
    private int sent;
    private int connectFailures;
    private boolean uncertain;
    private boolean finished;
    private boolean left;
    private @Nullable EndpointConnection current;
    private @Nullable Endpoint currentEndpoint;
    private @Nullable EdgeAnswer lastAnswer;
    private @Nullable Future<?> timeout;

    Exchange(EdgeContext context, CallerRequest request, Consumer<EdgeAnswer> taker) {
        this.context = context;
        this.request = request;
        this.taker = taker;
        this.trail = new RequestTrail(context, request, requestId());
    }

    /** Whether the request must not be started before those ahead of it on its connection are answered. */
    static boolean mustStandFirst(EdgeContext context, CallerRequest request) {
        return context.view()
                .routes()
                .flatMap(routes -> routes.find(request.host(), request.path()))
                .map(found -> found.kind() == RouteKind.ONCE)
                .orElse(false);
    }

    void start() {
        FleetView view = context.view();
        if (view.routes().isEmpty()) {
            finish(EdgeAnswer.refusal("no configuration is known yet", RETRY_AFTER_NO_VIEW_MILLIS), "no-configuration");
            return;
        }
        Optional<TrafficRoute> found = view.routes().get().find(request.host(), request.path());
        if (found.isEmpty()) {
            finish(EdgeAnswer.own(404, "no route has this host and path"), "no-route");
            return;
        }
        if (context.isPoison(request)) {
            finish(EdgeAnswer.own(503, "endpoints broke off at this request; not run"), "poison");
            return;
        }
        route = found.get();
        service = SplitChoice.of(found.get(), requestId());
        long waitMillis = request.millisHeader(context.names().deadlineMillis())
                .map(caller -> Math.min(caller, found.get().timeoutMillis()))
                .orElse(found.get().timeoutMillis());
        deadlineMillis = request.receivedMillis() + waitMillis;
        trail.admitted(found.get(), service, deadlineMillis);
        context.budgetOf(service).onRequest(context.nowMillis());
        timeout = context.after(deadlineMillis - context.nowMillis(), this::onDeadline);
        attempt();
    }

    /** The caller has gone: work that may be repeated is given up, what must run once is left to end. */
    void cancel() {
        if (finished) {
            return;
        }
        left = true;
        context.count("edge.callers.left");
        boolean once = route != null && route.kind() == RouteKind.ONCE;
        if (current == null || !once) {
            boolean atWork = current != null;
            abortCurrent();
            close();
            trail.answered(CALLER_GONE_STATUS, "caller-left", uncertain || atWork, true);
        }
    }

    private void attempt() {
        if (finished) {
            return;
        }
        long nowMillis = context.nowMillis();
        if (deadlineMillis - nowMillis < LEAST_USEFUL_MILLIS) {
            onDeadline();
            return;
        }
        TrafficRoute way = java.util.Objects.requireNonNull(route);
        boolean repeat = sent > 0;
        if (repeat && sent >= way.maxAttempts()) {
            giveUp("attempts-spent");
            return;
        }
        PlacementQuery query = queryOf(way);
        Optional<Endpoint> choice = context.chooser().choose(query, nowMillis);
        if (choice.isEmpty()) {
            giveUp("no-endpoint");
            return;
        }
        if (repeat
                && !context.budgetOf(service).tryRetry(nowMillis, context.view().entryInstances())) {
            giveUp("retry-budget-spent");
            return;
        }
        Endpoint endpoint = choice.get();
        tried.add(endpoint.id());
        currentEndpoint = endpoint;
        context.chooser().sent(endpoint, query, nowMillis);
        context.poolOf(endpoint).acquire(acquired -> onConnection(endpoint, acquired));
    }

    private void onConnection(Endpoint endpoint, Either<String, EndpointConnection> acquired) {
        if (finished || (left && acquired.isRight())) {
            acquired.forEach(EndpointConnection::close);
            endAttempt(endpoint);
            close();
            return;
        }
        if (acquired.isLeft()) {
            endAttempt(endpoint);
            trail.attemptFailed(endpoint, "connect-failed");
            context.judge(endpoint, "connect-failed");
            if (++connectFailures >= MAX_CONNECT_FAILURES) {
                giveUp("connect-failed");
            } else {
                attempt();
            }
            return;
        }
        if (!context.view().isUsable(endpoint)) {
            acquired.get().close();
            endAttempt(endpoint);
            attempt();
            return;
        }
        send(endpoint, acquired.get());
    }

    private void send(Endpoint endpoint, EndpointConnection connection) {
        long nowMillis = context.nowMillis();
        HttpHeaders headers = HopHeaders.endToEnd(request.headers());
        headers.set(context.names().deadlineMillis(), Long.toString(Math.max(1, deadlineMillis - nowMillis)));
        headers.set(context.names().expectedInstance(), endpoint.id());
        current = connection;
        sent++;
        trail.dispatched(endpoint, sent, deadlineMillis - nowMillis);
        connection.send(request, headers, new AttemptListener() {
            @Override
            public void onAnswer(EdgeAnswer answer) {
                attemptAnswered(endpoint, answer, nowMillis);
            }

            @Override
            public void onBroken(String reason) {
                attemptBroken(endpoint, reason);
            }
        });
    }

    private void attemptAnswered(Endpoint endpoint, EdgeAnswer answer, long sentMillis) {
        endAttempt(endpoint);
        if (finished) {
            answer.body().release();
            return;
        }
        long nowMillis = context.nowMillis();
        context.answers().load(answer).ifPresent(load -> context.loadReported(endpoint, load));
        if (context.answers().isNotRun(answer)) {
            answer.body().release();
            if (context.answers().isOtherEndpoint(answer)) {
                context.judge(endpoint, "other-endpoint");
            }
            trail.attemptFailed(endpoint, "not-executed");
            attempt();
            return;
        }
        if (context.answers().isUnsigned(answer)) {
            answer.body().release();
            attemptBroken(endpoint, "answer without signature");
            return;
        }
        context.answered(request);
        boolean serverError = answer.status().code() >= 500;
        if (serverError && repeatable()) {
            keep(answer);
            uncertain = true;
            trail.attemptFailed(endpoint, "server-error");
            attempt();
            return;
        }
        if (!serverError) {
            context.chooser()
                    .answered(endpoint, java.util.Objects.requireNonNull(route).name(), nowMillis - sentMillis);
        }
        finish(answer, ANSWERED);
    }

    private void attemptBroken(Endpoint endpoint, String reason) {
        if (current != null) {
            endAttempt(endpoint);
        }
        if (finished) {
            return;
        }
        uncertain = true;
        trail.attemptFailed(endpoint, "broken");
        context.judge(endpoint, reason);
        context.brokeOff(request, endpoint);
        if (repeatable() && context.isPoison(request)) {
            giveUp("poison");
        } else if (repeatable()) {
            attempt();
        } else {
            finish(EdgeAnswer.own(502, "the endpoint broke off; the request may have run"), "broken");
        }
    }

    private void giveUp(String reason) {
        if (lastAnswer != null) {
            EdgeAnswer answer = lastAnswer;
            lastAnswer = null;
            finish(answer, reason);
        } else if (uncertain) {
            finish(EdgeAnswer.own(502, "no endpoint gave an answer; the request may have run"), reason);
        } else {
            finish(EdgeAnswer.refusal("no endpoint can take the request now; not run", retryAfterMillis()), reason);
        }
    }

    private long retryAfterMillis() {
        long nowMillis = context.nowMillis();
        long callerMillis = request.millisHeader(context.names().deadlineMillis())
                .map(caller -> caller - (nowMillis - request.receivedMillis()))
                .orElse(deadlineMillis - nowMillis);
        PlacementQuery query = queryOf(java.util.Objects.requireNonNull(route));
        return RetryAfter.millis(context.chooser().leastWaitMillis(query, nowMillis), callerMillis);
    }

    private PlacementQuery queryOf(TrafficRoute way) {
        Optional<String> key = request.header(context.names().affinityKey()).filter(any -> way.affinity());
        return new PlacementQuery(way, service, key.orElse(requestId()), key.isPresent(), tried);
    }

    private void onDeadline() {
        if (finished) {
            return;
        }
        boolean atWork = current != null;
        if (atWork && context.nowMillis() < deadlineMillis + DELIVERY_MILLIS) {
            timeout = context.after(deadlineMillis + DELIVERY_MILLIS - context.nowMillis(), this::onDeadline);
            return;
        }
        uncertain = uncertain || atWork;
        abortCurrent();
        if (lastAnswer != null || !uncertain) {
            giveUp("deadline");
        } else {
            finish(EdgeAnswer.own(504, "no answer before the deadline; the request may have run"), "deadline");
        }
    }

    private void finish(EdgeAnswer answer, String reason) {
        if (finished) {
            answer.body().release();
            return;
        }
        boolean gone = left;
        close();
        trail.answered(answer.status().code(), reason, uncertain, gone);
        if (gone) {
            answer.body().release();
        } else {
            taker.accept(answer);
        }
    }

    private void close() {
        if (finished) {
            return;
        }
        finished = true;
        if (timeout != null) {
            timeout.cancel(false);
        }
        if (lastAnswer != null) {
            lastAnswer.body().release();
            lastAnswer = null;
        }
        request.body().release();
    }

    private void abortCurrent() {
        EndpointConnection connection = current;
        Endpoint endpoint = currentEndpoint;
        if (connection != null && endpoint != null) {
            endAttempt(endpoint);
            connection.abort();
        }
    }

    private void endAttempt(Endpoint endpoint) {
        current = null;
        currentEndpoint = null;
        context.chooser().ended(endpoint);
    }

    private void keep(EdgeAnswer answer) {
        if (lastAnswer != null) {
            lastAnswer.body().release();
        }
        lastAnswer = answer;
    }

    private boolean repeatable() {
        return java.util.Objects.requireNonNull(route).kind() == RouteKind.REPEATABLE;
    }

    private String requestId() {
        return request.header(context.names().requestId()).orElse("");
    }
}
