package org.bulrushwheel.server.slots;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;

import org.bulrushwheel.logic.budget.GrantTimings;
import org.bulrushwheel.logic.budget.SlotPoolOwner;
import org.bulrushwheel.logic.steering.ServiceSlots;
import org.bulrushwheel.model.proto.SlotGrant;
import org.bulrushwheel.model.proto.SlotRequest;

/**
 * Slot pools of this zone that this instance owns.
 *
 * <p>Invariant: a pool is held only while membership permits this instance to own it; a pool that was lost and regained
 * starts with no slots granted. Not thread safe: guarded by {@link SlotService}.
 */
final class OwnedPools {
    private final String zone;
    private final Predicate<String> owns;
    private final Function<String, Map<String, Integer>> limitsOfService;
    private final Map<String, SlotPoolOwner> ownersByService = new HashMap<>();

    /**
     * Creates an instance that owns no pools.
     *
     * @param zone zone of this instance
     * @param owns tests whether this instance may currently act as the owner of a pool
     * @param limitsOfService returns the number of slots that may be granted per endpoint of a service
     */
    OwnedPools(String zone, Predicate<String> owns, Function<String, Map<String, Integer>> limitsOfService) {
        this.zone = zone;
        this.owns = owns;
        this.limitsOfService = limitsOfService;
    }

    /** Handles the request of a holder; returns empty if this instance does not own the pool. */
    Optional<Map<String, SlotGrant>> onRequest(
            String service, String holder, boolean remote, SlotRequest request, long nowMillis) {
        return ownerOf(service).map(owner -> owner.onRequest(holder, remote, request, nowMillis));
    }

    /** Expires grants and applies the current limits; returns the grants to send, by service and holder. */
    Map<String, Map<String, SlotGrant>> tick(long nowMillis) {
        Map<String, Map<String, SlotGrant>> grants = new HashMap<>();
        ownersByService.keySet().removeIf(service -> !owns.test(ServiceSlots.poolName(zone, service)));
        ownersByService.forEach((service, owner) -> {
            owner.setLimits(limitsOfService.apply(service));
            grants.put(service, owner.tick(nowMillis));
        });
        return grants;
    }

    int size() {
        return ownersByService.size();
    }

    private Optional<SlotPoolOwner> ownerOf(String service) {
        String pool = ServiceSlots.poolName(zone, service);
        if (!owns.test(pool)) {
            ownersByService.remove(service);
            return Optional.empty();
        }
        return Optional.of(ownersByService.computeIfAbsent(service, name -> {
            SlotPoolOwner owner = new SlotPoolOwner(pool, GrantTimings.SLOTS);
            owner.setLimits(limitsOfService.apply(name));
            return owner;
        }));
    }
}
