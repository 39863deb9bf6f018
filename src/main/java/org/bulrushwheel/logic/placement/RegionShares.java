package org.bulrushwheel.logic.placement;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

import org.bulrushwheel.model.traffic.Endpoint;

/**
 * Splits the requests of one region over the regions that have endpoints: its own serves what its fair share of all
 * requests allows, the others take the rest by the room they have beyond their own.
 *
 * <p>Invariant: computed from the agreed endpoints alone, so that all instances of a region have the same shares. Every
 * region is taken to send as many requests as any other. Stateless and thread safe.
 */
public final class RegionShares {
    private RegionShares() {}

    /**
     * Returns the share of each region, which add up to 1.
     *
     * @param callerRegion region whose requests are split
     * @param regions all regions that send requests
     * @param endpoints endpoints that may serve
     */
    public static Map<String, Double> of(
            String callerRegion, Collection<String> regions, Collection<Endpoint> endpoints) {
        Map<String, Double> slots = new TreeMap<>();
        endpoints.forEach(endpoint -> slots.merge(endpoint.region(), (double) endpoint.slots(), Double::sum));
        double total = slots.values().stream().mapToDouble(Double::doubleValue).sum();
        Map<String, Double> shares = new TreeMap<>();
        if (total <= 0) {
            return shares;
        }
        // Requests of one region in units of slots, when all regions together fill all slots.
        double demand = total / Math.max(1, regions.size());
        double own = Math.min(demand, slots.getOrDefault(callerRegion, 0.0));
        double rest = demand - own;
        Map<String, Double> room = new TreeMap<>();
        slots.forEach((region, there) -> {
            double spare = there - (regions.contains(region) ? Math.min(demand, there) : 0);
            if (!region.equals(callerRegion) && spare > 0) {
                room.put(region, spare);
            }
        });
        double allRoom = room.values().stream().mapToDouble(Double::doubleValue).sum();
        if (own > 0) {
            shares.put(callerRegion, own / demand);
        }
        room.forEach((region, spare) -> shares.merge(region, rest / demand * spare / allRoom, Double::sum));
        shares.values().removeIf(share -> share <= 0);
        return shares;
    }
}
