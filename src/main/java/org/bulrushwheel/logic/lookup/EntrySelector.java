package org.bulrushwheel.logic.lookup;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.bulrushwheel.model.config.Configuration;
import org.bulrushwheel.model.config.DrainKind;
import org.bulrushwheel.model.instance.Instance;

/**
 * Ranks entry instances for a caller: the caller's zone first, then the other zones of its region, then other regions,
 * with one instance of each zone before a second of any zone. The cost of a selection depends on the number of instances
 * returned and of zones, not on the size of the fleet.
 *
 * <p>Immutable and thread safe.
 */
public final class EntrySelector {
    private final Map<String, List<Instance>> instancesByZone;
    private final Map<String, List<String>> zonesByRegion;
    private final Map<String, String> regionByZone;
    private final List<String> zones;

    /** Creates a selector from the instances that are up and not leaving, without those that the configuration drains. */
    public EntrySelector(Configuration configuration, List<Instance> instances) {
        this.instancesByZone = instances.stream()
                .filter(instance -> mayServe(configuration, instance))
                .collect(Collectors.groupingBy(Instance::zone, TreeMap::new, Collectors.toUnmodifiableList()));
        this.zones = List.copyOf(instancesByZone.keySet());
        this.regionByZone = instancesByZone.values().stream()
                .map(list -> list.get(0))
                .collect(Collectors.toUnmodifiableMap(Instance::zone, Instance::region));
        this.zonesByRegion =
                zones.stream().collect(Collectors.groupingBy(regionByZone::get, Collectors.toUnmodifiableList()));
    }

    /**
     * Returns the instances to use, in order of preference.
     *
     * @param zone zone of the caller
     * @param region region of that zone
     * @param seed spreads callers over the instances of a zone; the same seed gives the same result
     * @param maxInstances maximum number of instances to return
     */
    public List<Instance> select(String zone, String region, long seed, int maxInstances) {
        Set<Instance> answer = new LinkedHashSet<>();
        addOne(answer, zone, seed, 0);
        addOneOfEach(answer, zonesByRegion.getOrDefault(region, List.of()), seed, maxInstances);
        addOneOfEach(answer, zones, seed, maxInstances);
        for (int nextOffset = 1; answer.size() < maxInstances && nextOffset < maxInstances; nextOffset++) {
            addOne(answer, zone, seed, nextOffset);
        }
        return answer.stream().limit(maxInstances).toList();
    }

    /** Adds one instance of each zone until there are enough; the seed determines the first zone. */
    private void addOneOfEach(Set<Instance> answer, List<String> candidates, long seed, int maxInstances) {
        for (int index = 0; index < candidates.size() && answer.size() < maxInstances; index++) {
            String zone = candidates.get(position(seed, index, candidates.size()));
            boolean present =
                    answer.stream().anyMatch(instance -> instance.zone().equals(zone));
            if (!present) {
                addOne(answer, zone, seed, 0);
            }
        }
    }

    private void addOne(Set<Instance> answer, String zone, long seed, int offset) {
        List<Instance> instances = instancesByZone.getOrDefault(zone, List.of());
        if (offset < instances.size()) {
            answer.add(instances.get(position(seed, offset, instances.size())));
        }
    }

    private static int position(long seed, int offset, int size) {
        long mixed = (seed ^ (seed >>> 31)) * 0x9e3779b97f4a7c15L;
        return (int) Long.remainderUnsigned((mixed >>> 1) + offset, size);
    }

    private static boolean mayServe(Configuration configuration, Instance instance) {
        return !configuration.isDrained(DrainKind.INSTANCE, instance.name())
                && !configuration.isDrained(DrainKind.ZONE, instance.zone())
                && !configuration.isDrained(DrainKind.REGION, instance.region());
    }
}
