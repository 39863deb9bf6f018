package org.bulrushwheel.logic.steering;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.ToLongFunction;

import org.bulrushwheel.logic.budget.SlotPoolHolder;
import org.bulrushwheel.logic.placement.HeldEndpoints;
import org.bulrushwheel.logic.placement.HeldEndpoints.Incarnation;

/**
 * Endpoints of one zone that have asked this instance for no more requests.
 *
 * <p>In the instance's own zone, a hold ends with an incarnation that has started after it was asked for. The start of
 * endpoints of other zones is not known: there it also ends at another address, and a leave lasts {@link
 * #REMOTE_LEAVE_MILLIS} from the latest answer that says so. Not thread safe: owned by one {@link ServiceSlots}.
 */
final class HeldSlots {
    /** The longest validity of an announcement, after which the zone of an endpoint that has left knows it no more. */
    static final long REMOTE_LEAVE_MILLIS = 60_000;

    private final SlotPoolHolder holder;
    private final boolean ownZone;
    private final HeldEndpoints held = new HeldEndpoints();
    // The slots that this instance had when the endpoint asked; its load returns to them step by step.
    private final Map<String, Integer> slotsByEndpoint = new HashMap<>();
    private ToLongFunction<String> startEpochMillis = endpoint -> 0;

    HeldSlots(SlotPoolHolder holder, boolean ownZone) {
        this.holder = holder;
        this.ownZone = ownZone;
    }

    /** Sets the source of the start of an endpoint of the own zone, in milliseconds since the epoch; 0 if unknown. */
    void setStarts(ToLongFunction<String> newStartEpochMillis) {
        startEpochMillis = newStartEpochMillis;
    }

    /** Records that an endpoint leaves; returns whether that is new. */
    boolean onLeaving(String endpoint, long nowEpochMillis, long nowMillis) {
        if (!ownZone) {
            return onPause(endpoint, REMOTE_LEAVE_MILLIS, nowEpochMillis, nowMillis);
        }
        remember(endpoint, nowMillis);
        return held.onLeaving(spokenAt(endpoint, nowEpochMillis));
    }

    /** Records that an endpoint wants no requests for some time; returns whether it was not held before. */
    boolean onPause(String endpoint, long pauseMillis, long nowEpochMillis, long nowMillis) {
        remember(endpoint, nowMillis);
        return held.onPause(spokenAt(endpoint, nowEpochMillis), pauseMillis, nowMillis);
    }

    /** Whether nothing may be sent to an endpoint now. */
    boolean isHeld(String endpoint, long nowMillis) {
        return !slotsByEndpoint.isEmpty() && held.isHeld(current(endpoint), nowMillis);
    }

    /** Whether any endpoint is held. */
    boolean anyHeld(long nowMillis) {
        return slotsByEndpoint.keySet().stream().anyMatch(endpoint -> isHeld(endpoint, nowMillis));
    }

    /** Returns the time until the pause of an endpoint ends; empty if it has none or leaves. */
    OptionalLong pauseMillis(String endpoint, long nowMillis) {
        return held.pauseMillis(current(endpoint), nowMillis);
    }

    /** Returns the time until the first pause ends; empty if no endpoint pauses. */
    OptionalLong firstPauseMillis(long nowMillis) {
        return slotsByEndpoint.keySet().stream()
                .map(endpoint -> pauseMillis(endpoint, nowMillis))
                .flatMapToLong(OptionalLong::stream)
                .min();
    }

    /** Returns the endpoints that may get no request now: those held, and those back from a pause with their share. */
    Set<String> full(long nowMillis) {
        if (slotsByEndpoint.isEmpty()) {
            return Set.of();
        }
        slotsByEndpoint.keySet().removeIf(endpoint -> held.isUnrestricted(current(endpoint), nowMillis));
        Set<String> full = new HashSet<>();
        slotsByEndpoint.forEach((endpoint, slots) -> {
            if (!held.mayReceive(current(endpoint), slots, holder.inUse(endpoint), nowMillis)) {
                full.add(endpoint);
            }
        });
        return full;
    }

    /** Whether an endpoint is back from a pause and gets its load step by step. */
    boolean anyReturns(long nowMillis) {
        return slotsByEndpoint.keySet().stream()
                .map(this::current)
                .anyMatch(endpoint -> !held.isHeld(endpoint, nowMillis) && !held.isUnrestricted(endpoint, nowMillis));
    }

    private void remember(String endpoint, long nowMillis) {
        slotsByEndpoint.merge(endpoint, (int) Math.max(1, holder.held(endpoint, nowMillis)), Math::max);
    }

    /** The incarnation that says something now has started before. */
    private Incarnation spokenAt(String endpoint, long nowEpochMillis) {
        return new Incarnation(nameOf(endpoint), ownZone ? nowEpochMillis : 0);
    }

    private Incarnation current(String endpoint) {
        return new Incarnation(nameOf(endpoint), ownZone ? startEpochMillis.applyAsLong(endpoint) : 0);
    }

    private String nameOf(String endpoint) {
        return ownZone ? endpoint : endpoint + "@" + holder.addressOf(endpoint).orElse("");
    }
}
