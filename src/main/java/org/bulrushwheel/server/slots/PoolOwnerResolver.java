package org.bulrushwheel.server.slots;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import org.bulrushwheel.logic.membership.RendezvousHash;

/**
 * Selects the instance to which slot requests for a pool are sent. In the own zone, membership names the owner. In
 * another zone the first candidate is chosen by rendezvous hashing; a response that names the owner replaces it, and
 * an instance that does not respond in time is replaced by the next candidate.
 *
 * <p>Not thread safe: guarded by {@link SlotService}.
 */
final class PoolOwnerResolver {
    private static final long RESPONSE_TIMEOUT_MILLIS = 700;

    private static final class Target {
        private String instance = "";
        private int nextRank;
        private long requestedMillis;
        private boolean awaitingResponse;
    }

    private final String ownZone;
    private final Function<String, Optional<String>> localOwner;
    private final Function<String, List<String>> instancesOfZone;
    private final Map<String, Target> targets = new HashMap<>();

    /**
     * Creates a resolver that has not sent any request yet.
     *
     * @param ownZone zone of this instance
     * @param localOwner returns the owner of a pool in the own zone
     * @param instancesOfZone returns the names of the instances in a zone
     */
    PoolOwnerResolver(
            String ownZone,
            Function<String, Optional<String>> localOwner,
            Function<String, List<String>> instancesOfZone) {
        this.ownZone = ownZone;
        this.localOwner = localOwner;
        this.instancesOfZone = instancesOfZone;
    }

    /** Returns the instance to send the next request to, or empty if the zone has no known instance. */
    Optional<String> current(String zone, String pool, long nowMillis) {
        if (zone.equals(ownZone)) {
            return localOwner.apply(pool);
        }
        Target target = targets.computeIfAbsent(pool, name -> new Target());
        boolean timedOut = target.awaitingResponse && nowMillis - target.requestedMillis > RESPONSE_TIMEOUT_MILLIS;
        if (target.instance.isEmpty() || timedOut) {
            List<String> ranked = RendezvousHash.ranked(pool, instancesOfZone.apply(zone));
            if (ranked.isEmpty()) {
                return Optional.empty();
            }
            target.instance = ranked.get(target.nextRank++ % ranked.size());
            target.awaitingResponse = false;
        }
        return Optional.of(target.instance);
    }

    /** Records that a request was sent; the time-out runs from the first request without a response. */
    void requestSent(String pool, long nowMillis) {
        Target target = targets.get(pool);
        if (target != null && !target.awaitingResponse) {
            target.awaitingResponse = true;
            target.requestedMillis = nowMillis;
        }
    }

    /**
     * Records a response.
     *
     * @param pool name of the pool
     * @param ownerHint owner according to the responding instance, or empty if that instance is the owner itself
     */
    void responseReceived(String pool, Optional<String> ownerHint) {
        Target target = targets.get(pool);
        if (target != null) {
            target.awaitingResponse = false;
            ownerHint.ifPresent(owner -> target.instance = owner);
        }
    }
}
