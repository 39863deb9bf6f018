package org.bulrushwheel.logic.budget;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A holder's part of a limit of events a second: a floor that needs no grant, and a granted rate until its deadline.
 *
 * <p>Invariant: an event is admitted only when fewer than the allowed number were admitted in the second before it. Not
 * thread safe.
 */
public final class RateLimiter {
    /** Time over which events are counted. */
    public static final long WINDOW_MILLIS = 1_000;

    private final long floorPerSecond;
    private final Deque<Long> admittedMillis = new ArrayDeque<>();
    private final Deque<Long> askedMillis = new ArrayDeque<>();
    private long grantedPerSecond;
    private long grantDeadlineMillis = Long.MIN_VALUE;

    /** A limiter with its floor. */
    public RateLimiter(long floorPerSecond) {
        this.floorPerSecond = floorPerSecond;
    }

    /** Takes a grant that counts from when it was asked for. */
    public void onGrant(long ratePerSecond, long deadlineMillis) {
        grantedPerSecond = ratePerSecond;
        grantDeadlineMillis = deadlineMillis;
    }

    /** Admits an event, or not. */
    public boolean tryAcquire(long nowMillis) {
        dropOld(askedMillis, nowMillis);
        dropOld(admittedMillis, nowMillis);
        if (askedMillis.size() < 2 * (allowed(nowMillis) + 1)) {
            askedMillis.add(nowMillis);
        }
        if (admittedMillis.size() >= allowed(nowMillis)) {
            return false;
        }
        admittedMillis.add(nowMillis);
        return true;
    }

    /** Returns the rate to ask for beyond the floor: what was wanted in the last second and a little more. */
    public long wantedPerSecond(long nowMillis) {
        dropOld(askedMillis, nowMillis);
        long wanted = askedMillis.size() + askedMillis.size() / 4 + 1;
        return Math.max(0, wanted - floorPerSecond);
    }

    /** Returns how many events a second are allowed now. */
    public long allowed(long nowMillis) {
        return floorPerSecond + (nowMillis < grantDeadlineMillis ? grantedPerSecond : 0);
    }

    private static void dropOld(Deque<Long> times, long nowMillis) {
        while (!times.isEmpty() && times.peek() <= nowMillis - WINDOW_MILLIS) {
            times.poll();
        }
    }
}
