package org.bulrushwheel.logic.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.bulrushwheel.logic.fleet.FleetView;
import org.bulrushwheel.logic.hash.StableHash;
import org.bulrushwheel.model.proto.SeenLoad;
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
    // An object that an endpoint has not handled takes about three times as long; less what the others save here.
    private static final double MISS_COST = 1.75;
    // Objects stay where they are while nobody waits.
    private static final double MOVE_COST = 0.1;
    // Instances don't take turns: twice the mean may meet in one second.
    private static final double COLD_USED_PART = 0.35;

    private record RankingKey(String service, Set<String> homeRegions) {}

    private final PlacementSettings settings;
    private final Map<String, EndpointLoad> loads = new HashMap<>();
    private final Map<String, Double> serviceMillisByRoute = new HashMap<>();
    // What waits at an endpoint is of all routes.
    private final Map<String, Double> serviceMillisByService = new HashMap<>();
    private final Map<RankingKey, AffinityRanking> rankings = new HashMap<>();
    private final Map<String, RegionSpill> spillByService = new HashMap<>();
    private final ObjectMemory memory = new ObjectMemory();
    private final SeenLoads news = new SeenLoads();
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
        List<Endpoint> order = order(query, nowMillis);
        double serviceMillis = serviceMillisByRoute.getOrDefault(query.route().name(), FIRST_SERVICE_MILLIS);
        Optional<Endpoint> best = cheapest(query, order, serviceMillis, nowMillis, false);
        return best.or(() -> coldest(query, order, nowMillis))
                .or(() -> cheapest(query, order, serviceMillis, nowMillis, true));
    }

    /** Returns how long a request would wait at the endpoint with the shortest wait, in milliseconds. */
    public double leastWaitMillis(PlacementQuery query, long nowMillis) {
        double serviceMillis = serviceMillisByService.getOrDefault(query.service(), FIRST_SERVICE_MILLIS);
        return view.usable(query.service()).stream()
                .filter(endpoint -> query.route().isHome(endpoint.region()))
                .mapToDouble(endpoint -> loadOf(endpoint).waitMillis(endpoint.slots(), serviceMillis, nowMillis))
                .min()
                .orElse(0);
    }

    /** Counts a request that is sent to an endpoint. */
    public void sent(Endpoint endpoint, PlacementQuery query, long nowMillis) {
        loadOf(endpoint).sent();
        if (query.affinity()) {
            memory.sent(query.key(), endpoint.id(), nowMillis);
        }
    }

    /** Counts the end of a request at an endpoint. */
    public void ended(Endpoint endpoint) {
        loadOf(endpoint).ended();
    }

    /** Learns from a whole answer. */
    public void answered(Endpoint endpoint, String route, long tookMillis) {
        loadOf(endpoint).succeeded();
        learn(serviceMillisByRoute, route, tookMillis);
        learn(serviceMillisByService, endpoint.service(), tookMillis);
    }

    private static void learn(Map<String, Double> millis, String name, long tookMillis) {
        millis.merge(name, (double) tookMillis, (old, latest) -> old + LEARNING_RATE * (latest - old));
    }

    /** Learns what an endpoint says of its load; returns whether other instances are to hear of it. */
    public boolean reported(Endpoint endpoint, int runningAndWaiting, long nowMillis) {
        loadOf(endpoint).reported(runningAndWaiting, nowMillis);
        return news.seen(endpoint.id(), runningAndWaiting, endpoint.slots(), nowMillis);
    }

    /** Learns what another instance has seen of an endpoint's load. */
    public void heard(SeenLoad load, long nowMillis) {
        if (isKnown(load.getEndpoint())) {
            loads.computeIfAbsent(load.getEndpoint(), id -> new EndpointLoad())
                    .reported(load.getRequests(), nowMillis - load.getAgeMillis());
        }
    }

    /** Returns the loads that other instances are to hear of, and forgets them. */
    public List<SeenLoad> takeNews(long nowMillis) {
        return news.take(nowMillis);
    }

    /** Learns that an endpoint could not be reached or broke off; returns for how many milliseconds it is avoided. */
    public long failed(Endpoint endpoint, long nowMillis) {
        return loadOf(endpoint).failed(nowMillis);
    }

    /** Returns how many requests an endpoint is thought to have, those of other instances among them. */
    public int loadEstimate(Endpoint endpoint, long nowMillis) {
        return loadOf(endpoint).estimate(nowMillis);
    }

    private List<Endpoint> order(PlacementQuery query, long nowMillis) {
        List<Endpoint> order = rankingOf(query).order(query.key());
        RegionSpill spill = spillByService.computeIfAbsent(query.service(), service -> new RegionSpill());
        if (spill.isDue(nowMillis)) {
            spill.step(pressureByRegion(query.service(), nowMillis), nowMillis);
        }
        if (order.isEmpty() || !spill.spills(query.key(), order.get(0).region())) {
            return order;
        }
        String first = order.get(0).region();
        List<Endpoint> spilled = new ArrayList<>(order.size());
        order.stream().filter(endpoint -> !endpoint.region().equals(first)).forEach(spilled::add);
        order.stream().filter(endpoint -> endpoint.region().equals(first)).forEach(spilled::add);
        return spilled;
    }

    /** Returns the requests for each slot in the regions, as far as they are known. */
    private Map<String, Double> pressureByRegion(String service, long nowMillis) {
        return view.usable(service).stream()
                .collect(Collectors.groupingBy(Endpoint::region, Collectors.averagingDouble(endpoint -> loadOf(endpoint)
                        .pressure(endpoint.slots(), nowMillis))));
    }

    private Optional<Endpoint> cheapest(
            PlacementQuery query, List<Endpoint> order, double serviceMillis, long nowMillis, boolean suspended) {
        double queuedMillis = serviceMillisByService.getOrDefault(query.service(), FIRST_SERVICE_MILLIS);
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
            double missCost = seen == 0 ? 0 : moveCost(query, endpoint, nowMillis) * serviceMillis;
            double cost = missCost + load.waitMillis(endpoint.slots(), queuedMillis, nowMillis);
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

    /** Returns what it costs to serve an object elsewhere than at its first endpoint, in service times. */
    private double moveCost(PlacementQuery query, Endpoint endpoint, long nowMillis) {
        if (!query.affinity()) {
            return 0;
        }
        return memory.hasHandled(query.key(), endpoint.id(), nowMillis) ? MOVE_COST : MISS_COST;
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
