package org.bulrushwheel.logic.budget;

import java.util.HashMap;
import java.util.Map;

/**
 * Owner of a limit of events a second: grants rates to holders until a deadline.
 *
 * <p>Invariant: the floors and every rate that a holder may still use, or used within the window before now, add up to
 * at most the limit. Not thread safe.
 */
public final class RateBudgetOwner {
    private final RateTimings timings;
    private final Map<String, Holding> holdings = new HashMap<>();
    private long poolPerSecond;

    /** Rates granted to one holder; the largest that has not ended counts. */
    private static final class Holding {
        private final Map<Long, Long> rateByHeldUntilMillis = new HashMap<>();
        private long wantedPerSecond;

        private long outstanding(long nowMillis) {
            rateByHeldUntilMillis.keySet().removeIf(until -> until <= nowMillis);
            return rateByHeldUntilMillis.values().stream()
                    .mapToLong(Long::longValue)
                    .max()
                    .orElse(0);
        }
    }

    /** An owner that has granted nothing. */
    public RateBudgetOwner(RateTimings timings) {
        this.timings = timings;
    }

    /** Sets what may be granted: the limit less all floors. */
    public void setPool(long newPoolPerSecond) {
        poolPerSecond = newPoolPerSecond;
    }

    /**
     * Grants a rate.
     *
     * @param holder name of the holder
     * @param wantedPerSecond rate that it wants beyond its floor
     * @param nowMillis monotonic time
     * @return the rate; valid for {@link RateTimings#validMillis()} from when the holder asked
     */
    public long request(String holder, long wantedPerSecond, long nowMillis) {
        Holding own = holdings.computeIfAbsent(holder, name -> new Holding());
        own.wantedPerSecond = wantedPerSecond;
        holdings.values().removeIf(holding -> holding != own && holding.outstanding(nowMillis) == 0);
        long others = holdings.values().stream()
                .filter(holding -> holding != own)
                .mapToLong(holding -> holding.outstanding(nowMillis))
                .sum();
        long granted = Math.max(0, Math.min(Math.min(wantedPerSecond, fairShare(own)), poolPerSecond - others));
        long heldUntilMillis = nowMillis + timings.validMillis() + timings.marginMillis() + RateLimiter.WINDOW_MILLIS;
        own.rateByHeldUntilMillis.merge(heldUntilMillis, granted, Math::max);
        return granted;
    }

    /** Returns the sum of the rates that may be in use. */
    public long outstanding(long nowMillis) {
        return holdings.values().stream()
                .mapToLong(holding -> holding.outstanding(nowMillis))
                .sum();
    }

    /** A holder's part of the pool by what the holders want. */
    private long fairShare(Holding own) {
        long wanted = holdings.values().stream()
                .mapToLong(holding -> holding.wantedPerSecond)
                .sum();
        if (wanted <= poolPerSecond) {
            return own.wantedPerSecond;
        }
        return (long) (poolPerSecond * (own.wantedPerSecond / (double) wanted));
    }
}
