package org.bulrushwheel.model.refusal;

/** Reasons for refusals, each with its HTTP status and a remedy for the recipient. */
public enum RefusalReason {
    NO_CONFIGURATION(503, "wait until an operator has accepted a configuration"),
    UNKNOWN_SERVICE(404, "use the name of a service in the accepted configuration"),
    UNKNOWN_ROUTE(404, "use a path and method that a route of the service covers"),
    MALFORMED_REQUEST(400, "send the request in the documented form"),
    HEADERS_TOO_LARGE(431, "send fewer or shorter headers"),
    BODY_TOO_LARGE(413, "send a smaller body, or use an idempotent route, which streams it"),
    NO_ROOM(503, "send the request again after the time in Retry-After, or give the instance more memory"),
    BODY_TOO_SLOW(
            408, "send the whole body before the deadline of the request, or within 30 s for an administration call"),
    BODY_INCOMPLETE(400, "send the whole body that Content-Length announces"),
    IDEMPOTENCY_KEY_MISSING(428, "send an Idempotency-Key header that is unique to this request"),
    IDEMPOTENCY_KEY_REUSED(422, "use a new Idempotency-Key for a different request"),
    REQUEST_IN_PROGRESS(409, "send the request again later under the same key to get its answer"),
    OUTCOME_UNKNOWN(409, "find out from the service whether the request ran; it will not be run again"),
    ANSWER_NOT_KEPT(409, "the request ran once; ask the service for its result"),
    LEDGER_UNAVAILABLE(503, "send the request again later under the same key"),
    NO_UPSTREAM(503, "send the request again later, or start upstreams of the service"),
    CAPACITY_EXHAUSTED(503, "send the request again after the time in Retry-After"),
    SHIFT_CAP_REACHED(429, "send the request again after the time in Retry-After, or raise the cap in the next break"),
    LINK_CAPACITY_EXHAUSTED(503, "send the request again after the time in Retry-After"),
    DEADLINE_EXCEEDED(504, "send the request again with a later deadline"),
    UPSTREAM_CONNECT_FAILED(502, "send the request again; check that the upstream listens at its announced address"),
    UPSTREAM_FAILED(502, "send the request again if it is idempotent"),
    INTERNAL_ERROR(500, "report this to the operators, with the log of the instance"),
    UPSTREAM_SHED(503, "send the request again after the time in Retry-After"),
    POISON_REQUEST(422, "do not send this request again; it crashed the upstreams that ran it"),
    FORWARD_LOOP(508, "report this to the operators: a forwarded request was forwarded again"),
    INSTANCE_DRAINING(503, "use another entry instance"),
    UNAUTHORIZED(401, "send the bearer token of an operator"),
    FORBIDDEN(403, "ask an operator who has the required role and team"),
    RATE_LIMITED(429, "send fewer administration requests"),
    CONFIGURATION_INVALID(422, "correct the listed faults"),
    CONFIGURATION_CONFLICT(409, "read the version in force and apply the change to it"),
    NOT_IN_BREAK(409, "accept the configuration during the named break"),
    NO_QUORUM(503, "wait until a majority of control replicas can be reached");

    private final int httpStatus;
    private final String remedy;

    RefusalReason(int httpStatus, String remedy) {
        this.httpStatus = httpStatus;
        this.remedy = remedy;
    }

    /** Returns the HTTP status of a refusal for this reason. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns what the recipient can do about the refusal. */
    public String remedy() {
        return remedy;
    }

    /** Returns the name used in counters, headers and responses. */
    public String wireName() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }
}
