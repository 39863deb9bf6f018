package org.bulrushwheel.logic.decision;

import org.bulrushwheel.logic.hash.StableHash;
import org.bulrushwheel.model.decision.Decision;

/**
 * Samples the decision log when a process makes more decisions than it may write.
 *
 * <p>Invariant: failures and decisions that concern no request are always kept. The requests that a process keeps are a
 * subset of those that any less busy process keeps, so that the account of a kept request is complete. Not thread safe.
 */
public final class DecisionSampler {
    private static final long SECOND_MILLIS = 1_000;
    // A log line takes 0.05 to 0.1 ms, so logging uses at most 1 % of a core of the smallest entry instance.
    private static final int MAX_LINES_PER_SECOND = 60;
    private static final double MIN_SHARE = 1.0 / 1_024;

    private double share = 1;
    private long secondEndMillis = Long.MIN_VALUE;
    private int offered;

    /**
     * Whether to write a decision.
     *
     * @param nowMillis monotonic time
     */
    public boolean keeps(Decision decision, long nowMillis) {
        if (decision.failure() || decision.request().isEmpty()) {
            return true;
        }
        if (nowMillis >= secondEndMillis) {
            adjustShare();
            secondEndMillis = nowMillis + SECOND_MILLIS;
        }
        offered++;
        return StableHash.unit(decision.request().get(), "log") < share;
    }

    /** Returns the share of requests without a failure whose decisions are kept. */
    public double share() {
        return share;
    }

    private void adjustShare() {
        // Shares are powers of 1/2. Requests are kept by a stable hash, so a smaller share keeps a subset.
        double candidate = 1;
        while (candidate * offered > MAX_LINES_PER_SECOND && candidate > MIN_SHARE) {
            candidate /= 2;
        }
        share = candidate;
        offered = 0;
    }
}
