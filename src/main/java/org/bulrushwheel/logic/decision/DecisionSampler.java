package org.bulrushwheel.logic.decision;

import org.bulrushwheel.logic.hash.StableHash;
import org.bulrushwheel.model.decision.Decision;

/**
 * Chooses the decisions that are written when a process makes more than it may write.
 *
 * <p>Invariants: failures and what is about no request are always kept; the requests that a process keeps are among
 * those that any less busy process keeps, so that an account of a kept request is whole. Not thread safe.
 */
public final class DecisionSampler {
    private static final long SECOND_MILLIS = 1_000;
    // A line costs 0.05 to 0.1 ms: at most a hundredth of the smallest entry instance's core.
    private static final int LINES_PER_SECOND = 60;
    private static final double LEAST_SHARE = 1.0 / 1_024;

    private double share = 1;
    private long secondEndMillis = Long.MIN_VALUE;
    private int offered;

    /**
     * Whether a decision is to be written.
     *
     * @param nowMillis monotonic time
     */
    public boolean keeps(Decision decision, long nowMillis) {
        if (decision.failure() || decision.request().isEmpty()) {
            return true;
        }
        if (nowMillis >= secondEndMillis) {
            adapt();
            secondEndMillis = nowMillis + SECOND_MILLIS;
        }
        offered++;
        return StableHash.unit(decision.request().get(), "log") < share;
    }

    /** Returns the share of the requests without failure that is kept. */
    public double share() {
        return share;
    }

    private void adapt() {
        // Shares are powers of a half, so that processes keep the same requests.
        double fits = 1;
        while (fits * offered > LINES_PER_SECOND && fits > LEAST_SHARE) {
            fits /= 2;
        }
        share = fits;
        offered = 0;
    }
}
