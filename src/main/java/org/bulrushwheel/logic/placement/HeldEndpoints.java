package org.bulrushwheel.logic.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Endpoints that have asked this instance for no more requests: those that leave, and those that want a pause.
 *
 * <p>Invariants: a hold concerns one incarnation and ends with it; a pause never becomes shorter; after a pause the number
 * of requests in flight rises step by step. Not thread safe.
 */
public final class HeldEndpoints {
    /** Longest pause that an endpoint can ask for, in milliseconds. */
    public static final long MAX_PAUSE_MILLIS = 24 * 60 * 60_000L;

    // Time in which an endpoint gets back to all of its slots after a pause.
    private static final long RETURN_MILLIS = 2_000;

    private static final int MAX_HOLDS = 10_000;

    /**
     * One life of an endpoint.
     *
     * @param id id of the endpoint
     * @param bornEpochMillis start of this life; later ones have a higher value
     */
    public record Incarnation(String id, long bornEpochMillis) {}

    private record Hold(long bornEpochMillis, boolean leaving, long pauseEndMillis) {}

    // An endpoint that is silent for some time may come back, so its hold does not end when it is not in the view.
    private final Map<String, Hold> holds = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Hold> eldest) {
            return size() > MAX_HOLDS;
        }
    };

    /** Records that an endpoint leaves; returns whether that is new. */
    public boolean onLeaving(Incarnation endpoint) {
        if (isReplaced(endpoint)) {
            return false;
        }
        Hold earlier = holdOf(endpoint);
        holds.put(endpoint.id(), new Hold(endpoint.bornEpochMillis(), true, earlier.pauseEndMillis()));
        return !earlier.leaving();
    }

    /** Records that an endpoint wants no requests for some time; returns whether it was not held before. */
    public boolean onPause(Incarnation endpoint, long pauseMillis, long nowMillis) {
        if (isReplaced(endpoint)) {
            return false;
        }
        Hold earlier = holdOf(endpoint);
        long endMillis = nowMillis + Math.min(pauseMillis, MAX_PAUSE_MILLIS);
        boolean isNew = !isHeld(endpoint, nowMillis);
        holds.put(
                endpoint.id(),
                new Hold(endpoint.bornEpochMillis(), earlier.leaving(), Math.max(endMillis, earlier.pauseEndMillis())));
        return isNew;
    }

    /** Whether nothing may be sent to an endpoint now. */
    public boolean isHeld(Incarnation endpoint, long nowMillis) {
        Hold hold = holdOf(endpoint);
        return hold.leaving() || nowMillis < hold.pauseEndMillis();
    }

    /** Whether an endpoint with this many slots and requests of this instance may get one more. */
    public boolean mayReceive(Incarnation endpoint, int slots, int inFlight, long nowMillis) {
        if (isUnrestricted(endpoint, nowMillis)) {
            return true;
        }
        long sincePauseMillis = nowMillis - holdOf(endpoint).pauseEndMillis();
        return !isHeld(endpoint, nowMillis) && inFlight < 1 + slots * sincePauseMillis / RETURN_MILLIS;
    }

    /** Whether an endpoint is neither held nor just back from a pause. */
    public boolean isUnrestricted(Incarnation endpoint, long nowMillis) {
        return !holds.containsKey(endpoint.id())
                || (!isHeld(endpoint, nowMillis) && nowMillis - holdOf(endpoint).pauseEndMillis() >= RETURN_MILLIS);
    }

    /** Returns the time until the pause of an endpoint ends; empty if it has none or leaves. */
    public OptionalLong pauseMillis(Incarnation endpoint, long nowMillis) {
        Hold hold = holdOf(endpoint);
        return hold.leaving() || nowMillis >= hold.pauseEndMillis()
                ? OptionalLong.empty()
                : OptionalLong.of(hold.pauseEndMillis() - nowMillis);
    }

    /** Whether a newer incarnation has asked for something. */
    private boolean isReplaced(Incarnation endpoint) {
        Hold hold = holds.get(endpoint.id());
        return hold != null && hold.bornEpochMillis() > endpoint.bornEpochMillis();
    }

    private Hold holdOf(Incarnation endpoint) {
        Hold hold = holds.get(endpoint.id());
        return hold != null && hold.bornEpochMillis() >= endpoint.bornEpochMillis()
                ? hold
                : new Hold(endpoint.bornEpochMillis(), false, Long.MIN_VALUE / 2);
    }
}
