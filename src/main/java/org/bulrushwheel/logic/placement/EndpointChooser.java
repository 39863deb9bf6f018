package org.bulrushwheel.logic.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.bulrushwheel.logic.fleet.FleetView;
import org.bulrushwheel.logic.hash.StableHash;
import org.bulrushwheel.model.traffic.Endpoint;
import org.bulrushwheel.model.traffic.ServicePolicy;

/**
 * Chooses the endpoint of a request: the first of the object's order whose expected wait another does not undercut.
 *
 * <p>Invariants: an endpoint that drains, has ended or lies in an evacuated zone is never chosen; all instances
 * together stay below what a cold endpoint bears. Not thread safe: one event loop uses it.
 */
public final class EndpointChooser {
    // Further candidates add little: the object is in nobody's cache there.
    private static final int CANDIDATES = 4;
    private static final double FIRST_SERVICE_MILLIS = 300;
    private static final double LEARNING_RATE = 0.05;
    // A request for an object that an endpoint has not handled of late takes about three times as long.
    private static final double MISS_COST = 2.0;
    // Instances don't take turns: twice the mean may meet in one second.
    private static final double COLD_USED_PART = 0.35;

    private record RankingKey(String service, Set<String> homeRegions) {}

    private final PlacementSettings settings;
    private final Map<String, EndpointLoad> loads = new HashMap<>();
    private final Map<String, Double> serviceMillisByRoute = new HashMap<>();
    private final Map<RankingKey, AffinityRanking> rankings = new HashMap<>();
    private FleetView view = FleetView.empty();

    /** A chooser that knows no endpoint yet. */
    public EndpointChooser(PlacementSettings settings) {
        this.settings = settings;
    }

    /** Takes a new view of the fleet. */
    public void use(FleetView newView) {
        view = newView;
        rankings.clear();
        loads.entrySet().removeIf(entry -> entry.getValue().inFlight() == 0 && !isKnown(entry.getKey()));
    }

    /** Returns the endpoint for a request, or none when nothing may take it now. */
    public Optional<Endpoint> choose(PlacementQuery query, long nowMillis) {
        List<Endpoint> order = rankingOf(query).order(query.key());
        double serviceMillis = serviceMillisByRoute.getOrDefault(query.route().name(), FIRST_SERVICE_MILLIS);
        Optional<Endpoint> best = cheapest(query, order, serviceMillis, nowMillis, false);
        return best.or(() -> coldest(query, order, nowMillis))
                .or(() -> cheapest(query, order, serviceMillis, nowMillis, true));
    }

    /** Counts a request that is sent to an endpoint. */
    public void sent(Endpoint endpoint) {
        loadOf(endpoint).sent();
    }

    /** Counts the end of a request at an endpoint. */
    public void ended(Endpoint endpoint) {
        loadOf(endpoint).ended();
    }

    /** Learns from a whole answer. */
    public void answered(Endpoint endpoint, String route, long tookMillis) {
        loadOf(endpoint).succeeded();
        serviceMillisByRoute.merge(route, (double) tookMillis, (old, latest) -> old + LEARNING_RATE * (latest - old));
    }

    /** Learns what an endpoint says of its load. */
    public void reported(Endpoint endpoint, int runningAndWaiting, long nowMillis) {
        loadOf(endpoint).reported(runningAndWaiting, nowMillis);
    }

    /** Learns that an endpoint could not be reached or broke off; returns for how many milliseconds it is avoided. */
    public long failed(Endpoint endpoint, long nowMillis) {
        return loadOf(endpoint).failed(nowMillis);
    }

    /** Returns how many requests an endpoint is thought to have, those of other instances among them. */
    public int loadEstimate(Endpoint endpoint, long nowMillis) {
        return loadOf(endpoint).estimate(nowMillis);
    }

    private Optional<Endpoint> cheapest(
            PlacementQuery query, List<Endpoint> order, double serviceMillis, long nowMillis, boolean suspended) {
        Endpoint best = null;
        double bestCost = Double.MAX_VALUE;
        int seen = 0;
        for (Endpoint endpoint : order) {
            EndpointLoad load = loadOf(endpoint);
            boolean usable = !query.tried().contains(endpoint.id())
                    && !endpoint.isCold(nowMillis)
                    && load.isSuspended(nowMillis) == suspended;
            if (!usable) {
                continue;
            }
            double missCost = query.affinity() && seen > 0 ? MISS_COST * serviceMillis : 0;
            double waitCost =
                    Math.max(0, load.estimate(nowMillis) + 1 - endpoint.slots()) * serviceMillis / endpoint.slots();
            double cost = missCost + waitCost;
            if (cost < bestCost) {
                best = endpoint;
                bestCost = cost;
            }
            if (++seen >= CANDIDATES || bestCost == 0) {
                break;
            }
        }
        return Optional.ofNullable(best);
    }

    private Optional<Endpoint> coldest(PlacementQuery query, List<Endpoint> order, long nowMillis) {
        for (Endpoint endpoint : order) {
            EndpointLoad load = loadOf(endpoint);
            if (!endpoint.isCold(nowMillis)) {
                load.warm();
                continue;
            }
            boolean usable = !query.tried().contains(endpoint.id()) && !load.isSuspended(nowMillis);
            if (usable && load.takeCold(coldPerSecond(query.service()), coldStart(endpoint), nowMillis)) {
                return Optional.of(endpoint);
            }
        }
        return Optional.empty();
    }

    private double coldPerSecond(String service) {
        double bound = view.policy(service)
                .map(ServicePolicy::coldRequestsPerSecond)
                .map(rate -> rate * settings.coldLoadFactor() + settings.coldSlackRequests())
                .orElse(settings.coldSlackRequests());
        return COLD_USED_PART * bound / view.entryInstances();
    }

    /** Instances start with different parts of a token, so that they don't all send at once. */
    private double coldStart(Endpoint endpoint) {
        return StableHash.unit(endpoint.id(), settings.instance());
    }

    private AffinityRanking rankingOf(PlacementQuery query) {
        return rankings.computeIfAbsent(
                new RankingKey(query.service(), query.route().homeRegions()),
                key -> new AffinityRanking(
                        settings.region(),
                        settings.regions(),
                        view.usable(key.service()).stream()
                                .filter(endpoint -> query.route().isHome(endpoint.region()))
                                .toList()));
    }

    private boolean isKnown(String endpoint) {
        return view.hasEndpoint(endpoint);
    }

    private EndpointLoad loadOf(Endpoint endpoint) {
        return loads.computeIfAbsent(endpoint.id(), id -> new EndpointLoad());
    }
}
