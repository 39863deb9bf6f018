package org.bulrushwheel.logic.placement;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

import org.bulrushwheel.model.traffic.Endpoint;

/**
 * Splits the requests of one region over the regions that have endpoints. The region serves its own requests up to its
 * slots; the overflow goes to other regions in proportion to the slots that they do not need for their own requests.
 *
 * <p>Invariant: computed from the replicated endpoints only, so that all instances of a region have the same shares.
 * All regions are assumed to send the same number of requests. Stateless and thread safe.
 */
public final class RegionShares {
    private RegionShares() {}

    /**
     * Returns the share of each region; the shares add up to 1.
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
        // Demand of one region in slots when all regions together fill all slots.
        double demand = total / Math.max(1, regions.size());
        double own = Math.min(demand, slots.getOrDefault(callerRegion, 0.0));
        double overflow = demand - own;
        Map<String, Double> spareSlots = new TreeMap<>();
        slots.forEach((region, regionSlots) -> {
            double spare = regionSlots - (regions.contains(region) ? Math.min(demand, regionSlots) : 0);
            if (!region.equals(callerRegion) && spare > 0) {
                spareSlots.put(region, spare);
            }
        });
        double totalSpare =
                spareSlots.values().stream().mapToDouble(Double::doubleValue).sum();
        if (own > 0) {
            shares.put(callerRegion, own / demand);
        }
        spareSlots.forEach(
                (region, spare) -> shares.merge(region, overflow / demand * spare / totalSpare, Double::sum));
        shares.values().removeIf(share -> share <= 0);
        return shares;
    }
}
