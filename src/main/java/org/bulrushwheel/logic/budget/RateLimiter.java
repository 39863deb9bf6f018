package org.bulrushwheel.logic.budget;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A holder's share of a limit on events per second: a floor that needs no grant, and a granted rate until its deadline.
 *
 * <p>Invariant: an event is admitted only if fewer than the allowed number were admitted in the preceding second. Not
 * thread safe.
 */
public final class RateLimiter {
    /** Length of the sliding window in which events are counted. */
    public static final long WINDOW_MILLIS = 1_000;

    private final long floorPerSecond;
    private final Deque<Long> admittedTimesMillis = new ArrayDeque<>();
    private final Deque<Long> attemptTimesMillis = new ArrayDeque<>();
    private long grantedPerSecond;
    private long grantDeadlineMillis = Long.MIN_VALUE;

    /** Creates a limiter with a floor and no grant. */
    public RateLimiter(long floorPerSecond) {
        this.floorPerSecond = floorPerSecond;
    }

    /** Replaces the granted rate; the deadline is measured from the request for the grant. */
    public void onGrant(long ratePerSecond, long deadlineMillis) {
        grantedPerSecond = ratePerSecond;
        grantDeadlineMillis = deadlineMillis;
    }

    /** Counts an attempt; returns whether the event is admitted. */
    public boolean tryAcquire(long nowMillis) {
        evictExpired(attemptTimesMillis, nowMillis);
        evictExpired(admittedTimesMillis, nowMillis);
        if (attemptTimesMillis.size() < 2 * (allowedPerSecond(nowMillis) + 1)) {
            attemptTimesMillis.add(nowMillis);
        }
        if (admittedTimesMillis.size() >= allowedPerSecond(nowMillis)) {
            return false;
        }
        admittedTimesMillis.add(nowMillis);
        return true;
    }

    /** Returns the rate to request in addition to the floor: the attempts of the last second plus 25% and 1. */
    public long wantedPerSecond(long nowMillis) {
        evictExpired(attemptTimesMillis, nowMillis);
        long wanted = attemptTimesMillis.size() + attemptTimesMillis.size() / 4 + 1;
        return Math.max(0, wanted - floorPerSecond);
    }

    /** Returns the number of events per second that are allowed at the given time. */
    public long allowedPerSecond(long nowMillis) {
        return floorPerSecond + (nowMillis < grantDeadlineMillis ? grantedPerSecond : 0);
    }

    private static void evictExpired(Deque<Long> times, long nowMillis) {
        while (!times.isEmpty() && times.peek() <= nowMillis - WINDOW_MILLIS) {
            times.poll();
        }
    }
}
