package org.bulrushwheel.model.decision;

/**
 * Fields of decisions.
 *
 * <p>Immutable and thread safe.
 */
public enum DecisionField {
    INSTANCE("instance", "the instance that decided"),
    REQUEST("request", "id of the request"),
    ROUTE("route", "route of the request"),
    OBJECT("object", "object that the request concerns"),
    SERVICE("service", "service that the route's split has chosen, or the endpoint's"),
    REASON("reason", "reason for the decision"),
    STATUS("status", "status of the answer"),
    ENDPOINT("endpoint", "endpoint that the decision is about"),
    ZONE("zone", "availability zone of the endpoint, or of the order"),
    ATTEMPT("attempt", "number of the attempt, 1 for the first"),
    CONNECTION("connection", "number of the connection to the endpoint, unique in this process"),
    CONNECTION_REQUESTS("connectionRequests", "requests that the connection has carried, including this one"),
    NAMED_REQUEST("namedRequest", "id of the request that the response names; missing if it names none"),
    HELD_BYTES("heldBytes", "bytes of memory that the dropped response occupied"),
    ATTEMPTS("attempts", "endpoints that the request was sent to, each with its outcome and time"),
    MAY_HAVE_RUN("mayHaveRun", "whether an endpoint may have run the request"),
    REMAINING_MILLIS("remainingMillis", "time left until the request's deadline"),
    ARRIVAL_DELAY_MILLIS("arrivalDelayMillis", "estimated time that the request waited in the instance's link"),
    TOOK_MILLIS("tookMillis", "time since the request was read, and that it had waited in the link"),
    IN_FLIGHT("inFlight", "requests of this instance in flight at the endpoint, including this one"),
    LOAD("load", "estimated requests at the endpoint, including those of other instances"),
    SUSPENDED_MILLIS("suspendedMillis", "how long the endpoint is avoided"),
    CONFIGURATION_VERSION("configurationVersion", "version of the configuration that was applied"),
    VIEW_REVISION("viewRevision", "revision of the view of the fleet"),
    VIEW_AGE_MILLIS("viewAgeMillis", "time since a control instance in contact with a leader confirmed the view"),
    ENDPOINTS("endpoints", "number of endpoints in the view, or the endpoints concerned"),
    ENTRY_INSTANCES("entryInstances", "number of entry instances that share the limits of the fleet"),
    DEPENDENCY("dependency", "dependency that was lost or regained"),
    SILENT_MILLIS("silentMillis", "time since the last confirmation by the dependency"),
    STALLED_MILLIS("stalledMillis", "how long the process or its disk did not respond"),
    WAITED_MILLIS("waitedMillis", "how long the oldest of the changes waited"),
    PEER("peer", "peer address of the other instance"),
    ROLE("role", "role of the control replica"),
    TERM("term", "term of the replicated log"),
    VOTERS("voters", "voters of the replicated log"),
    ORDER("order", "kind of the operator's order"),
    OUTCOME("outcome", "outcome of the order or announcement"),
    STATE("state", "state that the endpoint announces, or of the evacuation"),
    SEQUENCE("sequence", "number of the endpoint's announcement"),
    SEEDS("seeds", "control instances named by the settings"),
    SERVICES("services", "services of the process");

    private final String key;
    private final String meaning;

    DecisionField(String key, String meaning) {
        this.key = key;
        this.meaning = meaning;
    }

    /** Returns the name of the field in a log line. */
    public String key() {
        return key;
    }

    /** Returns what the field means, for the operators' page. */
    public String meaning() {
        return meaning;
    }
}
