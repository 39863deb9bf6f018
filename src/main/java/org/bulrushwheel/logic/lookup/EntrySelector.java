package org.bulrushwheel.logic.lookup;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.bulrushwheel.model.config.Configuration;
import org.bulrushwheel.model.config.DrainKind;
import org.bulrushwheel.model.instance.Instance;

/**
 * Orders entry instances for a caller: the caller's zone first, then the other zones of its region, then other
 * regions, and never two of one failure domain before each domain had its turn.
 *
 * <p>Immutable and thread safe.
 */
public final class EntrySelector {
    private final Configuration configuration;

    /** A selector under this configuration. */
    public EntrySelector(Configuration configuration) {
        this.configuration = configuration;
    }

    /**
     * Returns the instances to use, best first.
     *
     * @param instances instances that are up and not leaving
     * @param zone zone of the caller
     * @param seed spreads callers over the instances of a zone; the same seed gives the same order
     * @param most how many to return
     */
    public List<Instance> select(List<Instance> instances, String zone, long seed, int most) {
        String region = configuration.regionOf(zone).orElse("");
        List<Instance> ordered = instances.stream()
                .filter(this::mayServe)
                .sorted(Comparator.comparingInt((Instance instance) -> distance(instance, zone, region))
                        .thenComparingLong(instance -> weight(instance, seed))
                        .thenComparing(Instance::name))
                .toList();
        return spread(ordered, most);
    }

    private boolean mayServe(Instance instance) {
        return !configuration.isDrained(DrainKind.INSTANCE, instance.name())
                && !configuration.isDrained(DrainKind.ZONE, instance.zone())
                && !configuration.isDrained(DrainKind.REGION, instance.region());
    }

    private static int distance(Instance instance, String zone, String region) {
        if (instance.zone().equals(zone)) {
            return 0;
        }
        return instance.region().equals(region) ? 1 : 2;
    }

    private static long weight(Instance instance, long seed) {
        long mixed = (instance.name().hashCode() ^ seed) * 0x9e3779b97f4a7c15L;
        return mixed ^ (mixed >>> 29);
    }

    /** The best instance, then the best of each other zone, then the rest. */
    private static List<Instance> spread(List<Instance> ordered, int most) {
        List<Instance> answer = new ArrayList<>();
        Set<String> zones = new HashSet<>();
        for (Instance instance : ordered) {
            if (answer.size() < most && zones.add(instance.zone())) {
                answer.add(instance);
            }
        }
        for (Instance instance : ordered) {
            if (answer.size() < most && !answer.contains(instance)) {
                answer.add(instance);
            }
        }
        return List.copyOf(answer);
    }
}
