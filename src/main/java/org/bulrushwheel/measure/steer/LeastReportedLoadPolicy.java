package org.bulrushwheel.measure.steer;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Naive: the endpoint with the least reported load, in the own region while one is not tried yet.
 *
 * <p>Not thread safe.
 */
final class LeastReportedLoadPolicy implements SteerPolicy {
    private final SteerWorld world;
    private final Set<String> left = new HashSet<>();
    private final Set<String> lostZones = new HashSet<>();

    LeastReportedLoadPolicy(SteerWorld world) {
        this.world = world;
    }

    @Override
    public void choose(int entry, SteerRequest request, Consumer<SteerEndpoint> chosen) {
        String region = SteerDeployment.regionOf(world.zoneOf(entry));
        SteerEndpoint local = best(
                request, endpoint -> SteerDeployment.regionOf(endpoint.zone()).equals(region));
        chosen.accept(local != null ? local : best(request, endpoint -> true));
    }

    private SteerEndpoint best(SteerRequest request, Predicate<SteerEndpoint> where) {
        return world.endpoints().stream()
                .filter(where)
                .filter(endpoint -> !left.contains(endpoint.name()) && !lostZones.contains(endpoint.zone()))
                .filter(endpoint -> !request.tried().contains(endpoint.name()))
                .min(Comparator.comparingDouble((SteerEndpoint endpoint) -> endpoint.reportedLoad())
                        .thenComparingInt(endpoint -> world.random().nextInt()))
                .orElse(null);
    }

    @Override
    public void finished(int entry, SteerEndpoint endpoint, boolean shed) {
        // Only reports count.
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
}
