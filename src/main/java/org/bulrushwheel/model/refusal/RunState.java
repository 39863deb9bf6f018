package org.bulrushwheel.model.refusal;

/** Whether a refused request may have run. */
public enum RunState {
    /** No upstream ran it: no byte of it can have reached one, or the upstream said so. */
    NOT_RUN("not-run"),
    /** An upstream may have run it. */
    UNKNOWN("unknown");

    private final String headerValue;

    RunState(String headerValue) {
        this.headerValue = headerValue;
    }

    /** Returns the value of the response header that reports this state to callers. */
    public String headerValue() {
        return headerValue;
    }
}
