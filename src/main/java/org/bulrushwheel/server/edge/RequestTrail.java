package org.bulrushwheel.server.edge;

import java.util.ArrayList;
import java.util.List;

import org.bulrushwheel.model.decision.Decision;
import org.bulrushwheel.model.decision.DecisionField;
import org.bulrushwheel.model.decision.DecisionKind;
import org.bulrushwheel.model.traffic.Endpoint;
import org.bulrushwheel.model.traffic.TrafficRoute;
import org.jspecify.annotations.Nullable;

/**
 * Records the decisions about one request in the decision log, and its outcome and latency in the metrics.
 *
 * <p>Not thread safe: confined to one event loop.
 */
final class RequestTrail {
    private static final int SERVER_ERROR = 500;

    private final EdgeContext context;
    private final CallerRequest request;
    private final String requestId;
    private final List<String> attempts = new ArrayList<>();
    private @Nullable TrafficRoute route;
    private String service = "";

    RequestTrail(EdgeContext context, CallerRequest request, String requestId) {
        this.context = context;
        this.request = request;
        this.requestId = requestId;
    }

    void admitted(TrafficRoute chosenRoute, String chosenService, long deadlineMillis) {
        route = chosenRoute;
        service = chosenService;
        context.record(newDecision(DecisionKind.ADMITTED)
                .with(
                        DecisionField.OBJECT,
                        request.header(context.headerNames().affinityKey()).orElse(""))
                .with(DecisionField.SERVICE, service)
                .with(DecisionField.REMAINING_MILLIS, deadlineMillis - context.nowMillis())
                .with(DecisionField.ARRIVAL_DELAY_MILLIS, context.arrivalDelayMillis())
                .with(DecisionField.CONFIGURATION_VERSION, context.view().trafficVersion())
                .with(DecisionField.VIEW_REVISION, context.view().revision())
                .with(DecisionField.VIEW_AGE_MILLIS, context.viewAgeMillis()));
    }

    void dispatched(Endpoint endpoint, EndpointConnection connection, int attempt, long remainingMillis) {
        context.record(newDecision(DecisionKind.DISPATCHED)
                .with(DecisionField.ENDPOINT, endpoint.id())
                .with(DecisionField.ZONE, endpoint.zone())
                .with(DecisionField.ATTEMPT, attempt)
                .with(DecisionField.CONNECTION, connection.number())
                .with(DecisionField.CONNECTION_REQUESTS, connection.carriedRequests() + 1)
                .with(DecisionField.LOAD, context.chooser().loadEstimate(endpoint, context.nowMillis()))
                .with(DecisionField.REMAINING_MILLIS, remainingMillis)
                .with(DecisionField.VIEW_REVISION, context.view().revision()));
    }

    /** Records that an attempt ended without a response that can be passed on. */
    void attemptFailed(Endpoint endpoint, String reason) {
        attempts.add(endpoint.id() + "=" + reason + "@" + tookMillis());
        context.count("edge.retries." + reason);
        context.record(newDecision(DecisionKind.RETRIED)
                .with(DecisionField.ENDPOINT, endpoint.id())
                .with(DecisionField.REASON, reason)
                .with(DecisionField.TOOK_MILLIS, tookMillis()));
    }

    /** Records the final outcome of the request. */
    void completed(int status, String reason, boolean mayHaveRun, boolean callerLeft) {
        context.count("edge.outcomes." + reason);
        context.recordDuration("edge.latency." + (route == null ? "none" : route.name()) + "." + reason, tookMillis());
        DecisionKind kind = kindOf(status, reason, mayHaveRun, callerLeft);
        Decision decision = newDecision(kind)
                .with(DecisionField.STATUS, status)
                .with(DecisionField.REASON, reason)
                .with(DecisionField.MAY_HAVE_RUN, mayHaveRun)
                .with(DecisionField.TOOK_MILLIS, tookMillis())
                .with(DecisionField.CONFIGURATION_VERSION, context.view().trafficVersion())
                .with(DecisionField.VIEW_REVISION, context.view().revision())
                .with(DecisionField.VIEW_AGE_MILLIS, context.viewAgeMillis());
        if (!attempts.isEmpty()) {
            decision = decision.with(DecisionField.ATTEMPTS, String.join(" ", attempts));
        }
        boolean failure = kind != DecisionKind.ANSWERED || status >= SERVER_ERROR;
        context.record(failure ? decision.asFailure() : decision);
    }

    private static DecisionKind kindOf(int status, String reason, boolean mayHaveRun, boolean callerLeft) {
        if (callerLeft) {
            return DecisionKind.ABANDONED;
        }
        if (reason.equals(Exchange.ANSWERED)) {
            return DecisionKind.ANSWERED;
        }
        return mayHaveRun ? DecisionKind.FAILED : DecisionKind.REFUSED;
    }

    private Decision newDecision(DecisionKind kind) {
        Decision decision = Decision.of(kind).with(DecisionField.REQUEST, requestId);
        return route == null ? decision : decision.with(DecisionField.ROUTE, route.name());
    }

    private long tookMillis() {
        return context.nowMillis() - request.receivedMillis();
    }
}
