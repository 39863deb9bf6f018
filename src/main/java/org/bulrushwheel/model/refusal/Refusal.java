package org.bulrushwheel.model.refusal;

/**
 * One refusal.
 *
 * <p>Immutable and thread safe.
 *
 * @param reason why
 * @param detail what was refused, for people
 * @param runState whether the request can have run
 * @param retryAfterSeconds least wait before another try, 0 for none
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

    /** Returns the same refusal with a wait before another try. */
    public Refusal withRetryAfterSeconds(long seconds) {
        return new Refusal(reason, detail, runState, seconds);
    }
}
