package org.bulrushwheel.model.decision;

/**
 * Kinds of decisions; a kind's key is the message of its log line.
 *
 * <p>Immutable and thread safe.
 */
public enum DecisionKind {
    STARTED("started", "the process serves"),
    STOPPING("stopping", "the process was told to stop and takes no new work"),
    STOPPED("stopped", "the process has ended its work"),
    SETTINGS_READ("settings-read", "the settings file was read again"),
    DEPENDENCY_LOST("dependency-lost", "a control instance, leader or disk that is needed is gone"),
    DEPENDENCY_REGAINED("dependency-regained", "a control instance, leader or disk is there again"),
    ROLE_CHANGED("role-changed", "a control replica leads or no longer leads"),
    VOTERS_CHANGED("voters-changed", "the voters of the replicated log have changed"),
    ORDER_DECIDED("order-decided", "an operator's order was acknowledged, refused or left open"),
    ENDPOINT_ANNOUNCED("endpoint-announced", "what an endpoint says of itself has changed"),
    ENDPOINT_SILENT("endpoint-silent", "an endpoint's announcements have stopped"),
    VIEW_CHANGED("view-changed", "an entry instance has a newer view of the fleet"),
    CONFIGURATION_IN_FORCE("configuration-in-force", "an entry instance obeys a configuration"),
    ENDPOINT_JUDGED("endpoint-judged", "an entry instance avoids an endpoint for a while"),
    ADMITTED("admitted", "a request was read and has a route"),
    DISPATCHED("dispatched", "a request was sent to an endpoint"),
    RETRIED("retried", "an attempt gave no answer that can be passed on, and another may follow"),
    REFUSED("refused", "a request was answered without an endpoint having run it"),
    ANSWERED("answered", "a request got an endpoint's answer"),
    FAILED("failed", "a request got no endpoint's answer and may have run"),
    ABANDONED("abandoned", "the caller left before its answer");

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
