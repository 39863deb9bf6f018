package org.bulrushwheel.model.refusal;

/**
 * One refusal.
 *
 * <p>Immutable and thread safe.
 *
 * @param reason reason for the refusal
 * @param detail human-readable description of what was refused
 * @param runState whether the request may have run
 * @param retryAfterSeconds minimum wait before a retry, 0 for none
 */
public record Refusal(RefusalReason reason, String detail, RunState runState, long retryAfterSeconds) {
    /** A refusal of a request that no upstream ran. */
    public static Refusal notRun(RefusalReason reason, String detail) {
        return new Refusal(reason, detail, RunState.NOT_RUN, 0);
    }

    /** A refusal of a request that an upstream may have run. */
    public static Refusal unknown(RefusalReason reason, String detail) {
        return new Refusal(reason, detail, RunState.UNKNOWN, 0);
    }

    /** Returns this refusal with a minimum wait before a retry. */
    public Refusal withRetryAfterSeconds(long seconds) {
        return new Refusal(reason, detail, runState, seconds);
    }

    /** Returns this refusal with the wait before a retry of a later one, if that is longer. */
    public Refusal withRetryOf(Refusal later) {
        return withRetryAfterSeconds(Math.max(retryAfterSeconds, later.retryAfterSeconds));
    }
}
