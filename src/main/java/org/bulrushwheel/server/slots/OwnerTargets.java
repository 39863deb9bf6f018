package org.bulrushwheel.server.slots;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import org.bulrushwheel.logic.membership.RendezvousHash;

/**
 * Which instance to ask for the slots of a pool. In the own zone membership tells; in another zone the first guess is
 * by rendezvous, corrected by what the asked instance says, and changed when it says nothing.
 *
 * <p>Not thread safe: owned by {@link SlotService}.
 */
final class OwnerTargets {
    private static final long SILENCE_MILLIS = 700;

    private static final class Target {
        private String instance = "";
        private int guess;
        private long askedMillis;
        private boolean waiting;
    }

    private final String ownZone;
    private final Function<String, Optional<String>> localOwner;
    private final Function<String, List<String>> instancesOfZone;
    private final Map<String, Target> targets = new HashMap<>();

    /**
     * Targets that nobody was asked at.
     *
     * @param ownZone zone of this instance
     * @param localOwner owner of a pool of the own zone
     * @param instancesOfZone names of the instances of a zone
     */
    OwnerTargets(
            String ownZone,
            Function<String, Optional<String>> localOwner,
            Function<String, List<String>> instancesOfZone) {
        this.ownZone = ownZone;
        this.localOwner = localOwner;
        this.instancesOfZone = instancesOfZone;
    }

    /** Returns the instance to ask now; none when the zone has none. */
    Optional<String> current(String zone, String pool, long nowMillis) {
        if (zone.equals(ownZone)) {
            return localOwner.apply(pool);
        }
        Target target = targets.computeIfAbsent(pool, name -> new Target());
        boolean silent = target.waiting && nowMillis - target.askedMillis > SILENCE_MILLIS;
        if (target.instance.isEmpty() || silent) {
            List<String> ranked = RendezvousHash.ranked(pool, instancesOfZone.apply(zone));
            if (ranked.isEmpty()) {
                return Optional.empty();
            }
            target.instance = ranked.get(target.guess++ % ranked.size());
            target.waiting = false;
        }
        return Optional.of(target.instance);
    }

    /** Notes that the instance was asked. */
    void asked(String pool, long nowMillis) {
        Target target = targets.get(pool);
        if (target != null && !target.waiting) {
            target.waiting = true;
            target.askedMillis = nowMillis;
        }
    }

    /** Notes an answer, with the instance that the answering one takes for the owner when it is not itself. */
    void answered(String pool, Optional<String> hint) {
        Target target = targets.get(pool);
        if (target != null) {
            target.waiting = false;
            hint.ifPresent(owner -> target.instance = owner);
        }
    }
}
