package org.bulrushwheel.logic.budget;

/**
 * Times of grants. A holder counts from when it asked, an owner from when it answered, plus the margin, so that the
 * owner always ends a grant later than its holder.
 *
 * <p>Immutable and thread safe.
 *
 * @param validMillis how long a holder may use a grant, from when it asked
 * @param marginMillis what the owner adds for clocks that run apart
 * @param remoteHoldMillis what the owner adds for a holder in another zone, whose requests in flight outlast the grant
 * @param renewMillis time between renewals
 */
public record GrantTimings(long validMillis, long marginMillis, long remoteHoldMillis, long renewMillis) {
    /** Times of slots. */
    public static final GrantTimings SLOTS = new GrantTimings(1_000, 100, 5_000, 300);
}
