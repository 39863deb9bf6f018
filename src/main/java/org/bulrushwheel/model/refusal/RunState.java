package org.bulrushwheel.model.refusal;

/** What a refusal says about the request. */
public enum RunState {
    /** No upstream ran it: no byte of it can have reached one, or the upstream said so. */
    NOT_RUN("not-run"),
    /** An upstream may have run it. */
    UNKNOWN("unknown");

    private final String headerValue;

    RunState(String headerValue) {
        this.headerValue = headerValue;
    }

    /** Returns the value of the header that tells callers. */
    public String headerValue() {
        return headerValue;
    }
}
