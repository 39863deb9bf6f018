package org.bulrushwheel.measure.steer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Power of two choices over the entry instance's own counts, in the own region while one is not tried yet.
 *
 * <p>Not thread safe.
 */
final class OwnCountPolicy implements SteerPolicy {
    private final SteerWorld world;
    private final Set<String> left = new HashSet<>();
    private final Set<String> lostZones = new HashSet<>();
    private final Map<String, Integer> inFlight = new HashMap<>();

    OwnCountPolicy(SteerWorld world) {
        this.world = world;
    }

    @Override
    public void choose(int entry, SteerRequest request, Consumer<SteerEndpoint> chosen) {
        String region = SteerDeployment.regionOf(world.zoneOf(entry));
        List<SteerEndpoint> candidates = candidates(request, region);
        if (candidates.isEmpty()) {
            candidates = candidates(request, null);
        }
        if (candidates.isEmpty()) {
            chosen.accept(null);
            return;
        }
        SteerEndpoint first = candidates.get(world.random().nextInt(candidates.size()));
        SteerEndpoint second = candidates.get(world.random().nextInt(candidates.size()));
        SteerEndpoint better = count(entry, first) <= count(entry, second) ? first : second;
        inFlight.merge(key(entry, better), 1, Integer::sum);
        chosen.accept(better);
    }

    private List<SteerEndpoint> candidates(SteerRequest request, String region) {
        List<SteerEndpoint> candidates = new ArrayList<>();
        for (SteerEndpoint endpoint : world.endpoints()) {
            boolean near =
                    region == null || SteerDeployment.regionOf(endpoint.zone()).equals(region);
            boolean gone = left.contains(endpoint.name()) || lostZones.contains(endpoint.zone());
            if (near && !gone && !request.tried().contains(endpoint.name())) {
                candidates.add(endpoint);
            }
        }
        return candidates;
    }

    @Override
    public void finished(int entry, SteerEndpoint endpoint, boolean shed) {
        inFlight.merge(key(entry, endpoint), -1, Integer::sum);
    }

    @Override
    public void tick() {
        // Nothing to do between requests.
    }

    @Override
    public void leave(SteerEndpoint endpoint) {
        world.after(1_000_000, () -> left.add(endpoint.name()));
    }

    @Override
    public void loseZone(String zone) {
        world.after(1_500_000, () -> lostZones.add(zone));
    }

    @Override
    public boolean retriesSheds() {
        return true;
    }

    private int count(int entry, SteerEndpoint endpoint) {
        return inFlight.getOrDefault(key(entry, endpoint), 0);
    }

    private static String key(int entry, SteerEndpoint endpoint) {
        return entry + ":" + endpoint.name();
    }
}
