package org.bulrushwheel.logic.budget;

/**
 * Timings of grants. A holder measures the validity of a grant from its request, the owner from its answer and adds a
 * margin, so that a grant always expires at the holder first.
 *
 * <p>Immutable and thread safe.
 *
 * @param validMillis how long a holder may use a grant, measured from its request
 * @param marginMillis time that the owner adds for clock drift
 * @param remoteGraceMillis time that the owner adds for a holder in another zone, whose in-flight requests may outlast
 *     the grant
 * @param renewMillis interval between renewals
 */
public record GrantTimings(long validMillis, long marginMillis, long remoteGraceMillis, long renewMillis) {
    /** Timings of slot grants. */
    public static final GrantTimings SLOTS = new GrantTimings(1_000, 100, 5_000, 300);
}
