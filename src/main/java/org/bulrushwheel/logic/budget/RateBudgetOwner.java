package org.bulrushwheel.logic.budget;

import java.util.HashMap;
import java.util.Map;

/**
 * Owner of a limit on events per second: grants rates to holders until a deadline.
 *
 * <p>Invariant: the floors and all rates that holders may still use, or have used within the last window, add up to at
 * most the limit. Not thread safe.
 */
public final class RateBudgetOwner {
    private final RateTimings timings;
    private final Map<String, Holding> holdings = new HashMap<>();
    private long poolPerSecond;

    /** Rates granted to one holder; the largest one that has not expired counts. */
    private static final class Holding {
        private final Map<Long, Long> rateByExpiryMillis = new HashMap<>();
        private long wantedPerSecond;

        private long outstanding(long nowMillis) {
            rateByExpiryMillis.keySet().removeIf(expiry -> expiry <= nowMillis);
            return rateByExpiryMillis.values().stream()
                    .mapToLong(Long::longValue)
                    .max()
                    .orElse(0);
        }
    }

    /** Creates an owner without grants. */
    public RateBudgetOwner(RateTimings timings) {
        this.timings = timings;
    }

    /** Sets the rate that may be granted in total: the limit minus all floors. */
    public void setGrantablePerSecond(long newPoolPerSecond) {
        poolPerSecond = newPoolPerSecond;
    }

    /**
     * Processes a request for a rate, which replaces the earlier request of the holder.
     *
     * @param holder name of the holder
     * @param wantedPerSecond requested rate in addition to the floor
     * @param nowMillis monotonic time
     * @return the granted rate; valid for {@link RateTimings#validMillis()} from when the holder sent its request
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
        long expiryMillis = nowMillis + timings.validMillis() + timings.marginMillis() + RateLimiter.WINDOW_MILLIS;
        own.rateByExpiryMillis.merge(expiryMillis, granted, Math::max);
        return granted;
    }

    /** Returns the sum of the granted rates that count against the limit. */
    public long outstanding(long nowMillis) {
        return holdings.values().stream()
                .mapToLong(holding -> holding.outstanding(nowMillis))
                .sum();
    }

    /** Returns a holder's share of the pool, in proportion to the rates that the holders requested. */
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
