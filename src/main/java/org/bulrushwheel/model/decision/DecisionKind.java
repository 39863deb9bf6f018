package org.bulrushwheel.model.decision;

/**
 * Kinds of decisions; a kind's key is the message of its log line.
 *
 * <p>Immutable and thread safe.
 */
public enum DecisionKind {
    STARTED("started", "the process has started"),
    STOPPING("stopping", "the process was asked to stop and accepts no new requests"),
    STOPPED("stopped", "the process has finished its work and stopped"),
    SETTINGS_READ("settings-read", "the settings file was read again"),
    DEPENDENCY_LOST("dependency-lost", "a required control instance, leader or disk is unavailable"),
    DEPENDENCY_REGAINED("dependency-regained", "a control instance, leader or disk is available again"),
    STALLED("stalled", "the process or its disk did not respond for a while"),
    ROLE_CHANGED("role-changed", "a control replica became the leader or ceased to lead"),
    VOTERS_CHANGED("voters-changed", "the voters of the replicated log have changed"),
    ORDER_DECIDED("order-decided", "an operator's order was acknowledged or refused, or its outcome is unknown"),
    EVACUATION_APPLIED("evacuation-applied", "a control replica has applied the start or the end of an evacuation"),
    ENDPOINT_ANNOUNCED("endpoint-announced", "an endpoint announced a change of its state"),
    ENDPOINT_SILENT("endpoint-silent", "an endpoint's announcements have stopped"),
    VIEW_CHANGED("view-changed", "an entry instance has a newer view of the fleet"),
    UPDATE_REPEATED("update-repeated", "changes were sent again to an entry instance that did not acknowledge them"),
    UPDATE_HELD("update-held", "changes waited for the acknowledgement of earlier ones before they were sent"),
    UPDATE_MISSED("update-missed", "an entry instance could not apply changes, since it lacks what they build on"),
    CONFIGURATION_IN_FORCE("configuration-in-force", "an entry instance applies a configuration"),
    ENDPOINT_JUDGED("endpoint-judged", "an entry instance temporarily avoids an endpoint"),
    ADMITTED("admitted", "a request was read and has a route"),
    DISPATCHED("dispatched", "a request was sent to an endpoint"),
    RETRIED("retried", "an attempt gave no response that can be passed on, and another may follow"),
    RESPONSE_DROPPED(
            "response-dropped",
            "an endpoint's response was not passed on, or bytes that are none ended its connection"),
    REFUSED("refused", "a request was rejected without an endpoint having run it"),
    ANSWERED("answered", "a request was answered with an endpoint's response"),
    FAILED("failed", "a request got no response from an endpoint and may have run"),
    ABANDONED("abandoned", "the caller disconnected before the response");

    private final String key;
    private final String meaning;

    DecisionKind(String key, String meaning) {
        this.key = key;
        this.meaning = meaning;
    }

    /** Returns the message of the log line. */
    public String key() {
        return key;
    }

    /** Returns what the kind means, for the operators' page. */
    public String meaning() {
        return meaning;
    }
}
