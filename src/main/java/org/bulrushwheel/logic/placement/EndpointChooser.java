package org.bulrushwheel.logic.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

import org.bulrushwheel.logic.fleet.FleetView;
import org.bulrushwheel.logic.hash.StableHash;
import org.bulrushwheel.model.proto.SeenLoad;
import org.bulrushwheel.model.traffic.Endpoint;
import org.bulrushwheel.model.traffic.ServicePolicy;

/**
 * Chooses the endpoint for a request: of the first candidates in the object's affinity order, the one with the lowest
 * cost, which is the expected wait plus the cost of serving the object away from its first endpoint.
 *
 * <p>Invariants: an endpoint that is draining, has ended, is in an evacuated zone, or has said to this instance that it
 * leaves or wants a pause is never chosen; load and failures count for the incarnation that they concern; all instances
 * together stay within the request rate that a cold endpoint can serve. Not thread safe: confined to one event loop.
 */
public final class EndpointChooser {
    // More candidates add little: endpoints further down the order do not have the object cached.
    private static final int MAX_CANDIDATES = 4;
    private static final double INITIAL_SERVICE_MILLIS = 300;
    private static final double SMOOTHING_FACTOR = 0.05;
    // In service times. An endpoint takes about three times as long for an object that it has not handled before; the
    // cost of that is reduced by the time that other requests save.
    private static final double CACHE_MISS_COST = 1.75;
    // In service times. Above 0, so that objects do not move between endpoints without a queue.
    private static final double WARM_MOVE_COST = 0.1;
    // Instances are not coordinated: up to twice the mean rate may arrive within one second.
    private static final double COLD_RATE_FRACTION = 0.35;

    private record RankingKey(String service, Set<String> homeRegions) {}

    private final PlacementSettings settings;
    private final Map<HeldEndpoints.Incarnation, EndpointLoad> loads = new HashMap<>();
    private final Map<String, Double> serviceMillisByRoute = new HashMap<>();
    // The queue of an endpoint holds requests of all routes, so its wait is computed from the mean of the service.
    private final Map<String, Double> serviceMillisByService = new HashMap<>();
    private final Map<RankingKey, AffinityRanking> rankings = new HashMap<>();
    private final Map<String, RegionSpill> spillByService = new HashMap<>();
    private final RecentPlacements recentPlacements = new RecentPlacements();
    private final HeldEndpoints held = new HeldEndpoints();
    private final SeenLoads unsentLoads = new SeenLoads();
    private FleetView view = FleetView.empty();

    /** Creates a chooser with an empty fleet view. */
    public EndpointChooser(PlacementSettings settings) {
        this.settings = settings;
    }

    /** Replaces the fleet view; drops the loads of incarnations that are gone and have no request in flight. */
    public void setView(FleetView newView) {
        view = newView;
        rankings.clear();
        loads.entrySet().removeIf(entry -> entry.getValue().inFlight() == 0 && !isCurrent(entry.getKey()));
    }

    /** Returns the endpoint for a request; empty if no endpoint may receive it now. */
    public Optional<Endpoint> choose(PlacementQuery query, long nowMillis) {
        List<Endpoint> order = order(query, nowMillis);
        double serviceMillis = serviceMillisByRoute.getOrDefault(query.route().name(), INITIAL_SERVICE_MILLIS);
        Optional<Endpoint> best = cheapest(query, order, serviceMillis, nowMillis, false);
        return best.or(() -> firstCold(query, order, nowMillis))
                .or(() -> cheapest(query, order, serviceMillis, nowMillis, true));
    }

    /** Returns the shortest expected wait of a request over the endpoints of its home regions, in milliseconds. */
    public double minWaitMillis(PlacementQuery query, long nowMillis) {
        double serviceMillis = serviceMillisByService.getOrDefault(query.service(), INITIAL_SERVICE_MILLIS);
        return view.usable(query.service()).stream()
                .filter(endpoint -> query.route().isHome(endpoint.region()))
                .filter(endpoint -> !held.isHeld(incarnation(endpoint), nowMillis))
                .mapToDouble(endpoint -> loadOf(endpoint).waitMillis(endpoint.slots(), serviceMillis, nowMillis))
                .min()
                .orElse(0);
    }

    /**
     * Returns the time until the first endpoint of the home regions takes requests again, in milliseconds; empty if one
     * may be taking them now, or if none has said when.
     */
    public OptionalLong pauseMillis(PlacementQuery query, long nowMillis) {
        List<Endpoint> endpoints = view.usable(query.service()).stream()
                .filter(endpoint -> query.route().isHome(endpoint.region()))
                .toList();
        return endpoints.stream().allMatch(endpoint -> held.isHeld(incarnation(endpoint), nowMillis))
                ? endpoints.stream()
                        .map(endpoint -> held.pauseMillis(incarnation(endpoint), nowMillis))
                        .flatMapToLong(OptionalLong::stream)
                        .min()
                : OptionalLong.empty();
    }

    /** Returns the time until the pause of an endpoint ends, in milliseconds; empty if it has none or leaves. */
    public OptionalLong pauseMillis(Endpoint endpoint, long nowMillis) {
        return held.pauseMillis(incarnation(endpoint), nowMillis);
    }

    /** Whether an endpoint that was chosen may still be sent the request. */
    public boolean isHeld(Endpoint endpoint, long nowMillis) {
        return held.isHeld(incarnation(endpoint), nowMillis);
    }

    /** Records an endpoint's own word that it leaves; returns whether that is new. */
    public boolean onLeaving(Endpoint endpoint) {
        return held.onLeaving(incarnation(endpoint));
    }

    /** Records an endpoint's own word that it wants a pause; returns whether it was taking requests before. */
    public boolean onPause(Endpoint endpoint, long pauseMillis, long nowMillis) {
        return held.onPause(incarnation(endpoint), pauseMillis, nowMillis);
    }

    /** Records that a request is sent to an endpoint. */
    public void onSent(Endpoint endpoint, PlacementQuery query, long nowMillis) {
        loadOf(endpoint).sent();
        if (query.affinity()) {
            recentPlacements.sent(query.key(), endpoint.id(), nowMillis);
        }
    }

    /** Records that a request at an endpoint has ended. */
    public void onEnded(Endpoint endpoint) {
        loadOf(endpoint).ended();
    }

    /** Records a complete answer and updates the mean service times of its route and service. */
    public void onAnswer(Endpoint endpoint, String route, long tookMillis) {
        loadOf(endpoint).succeeded();
        updateAverage(serviceMillisByRoute, route, tookMillis);
        updateAverage(serviceMillisByService, endpoint.service(), tookMillis);
    }

    private static void updateAverage(Map<String, Double> millis, String name, long tookMillis) {
        millis.merge(name, (double) tookMillis, (average, sample) -> average + SMOOTHING_FACTOR * (sample - average));
    }

    /** Records the load that an endpoint reported; returns whether it is to be sent to other instances. */
    public boolean onLoadReport(Endpoint endpoint, int runningAndWaiting, long nowMillis) {
        loadOf(endpoint).reported(runningAndWaiting, nowMillis);
        return unsentLoads.onLoadReport(endpoint.id(), runningAndWaiting, endpoint.slots(), nowMillis);
    }

    /** Records the load of an endpoint that was reported to another instance. */
    public void onPeerLoad(SeenLoad load, long nowMillis) {
        view.endpoint(load.getEndpoint())
                .ifPresent(endpoint -> loadOf(endpoint).reported(load.getRequests(), nowMillis - load.getAgeMillis()));
    }

    /** Returns and clears the loads that are to be sent to other instances. */
    public List<SeenLoad> takeUnsentLoads(long nowMillis) {
        return unsentLoads.take(nowMillis);
    }

    /** Records a failed connection or a truncated answer; returns for how many milliseconds the endpoint is avoided. */
    public long onFailure(Endpoint endpoint, long nowMillis) {
        return loadOf(endpoint).failed(nowMillis);
    }

    /** Returns the estimated number of requests at an endpoint, including those of other instances. */
    public int loadEstimate(Endpoint endpoint, long nowMillis) {
        return loadOf(endpoint).estimate(nowMillis);
    }

    private List<Endpoint> order(PlacementQuery query, long nowMillis) {
        List<Endpoint> order = rankingOf(query).order(query.key());
        RegionSpill spill = spillByService.computeIfAbsent(query.service(), service -> new RegionSpill());
        if (spill.isDue(nowMillis)) {
            spill.step(requestsPerSlotByRegion(query.service(), nowMillis), nowMillis);
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

    /** Returns the mean number of requests per slot of each region, as far as this instance can estimate it. */
    private Map<String, Double> requestsPerSlotByRegion(String service, long nowMillis) {
        return view.usable(service).stream()
                .collect(Collectors.groupingBy(Endpoint::region, Collectors.averagingDouble(endpoint -> loadOf(endpoint)
                        .requestsPerSlot(endpoint.slots(), nowMillis))));
    }

    private Optional<Endpoint> cheapest(
            PlacementQuery query, List<Endpoint> order, double serviceMillis, long nowMillis, boolean suspended) {
        double queuedServiceMillis = serviceMillisByService.getOrDefault(query.service(), INITIAL_SERVICE_MILLIS);
        Endpoint best = null;
        double bestCost = Double.MAX_VALUE;
        int considered = 0;
        for (Endpoint endpoint : order) {
            EndpointLoad load = loadOf(endpoint);
            boolean usable = !query.tried().contains(endpoint.id())
                    && !endpoint.isCold(nowMillis)
                    && held.mayReceive(incarnation(endpoint), endpoint.slots(), load.inFlight(), nowMillis)
                    && load.isSuspended(nowMillis) == suspended;
            if (!usable) {
                continue;
            }
            double moveCostMillis = considered == 0 ? 0 : moveCost(query, endpoint, nowMillis) * serviceMillis;
            double cost = moveCostMillis + load.waitMillis(endpoint.slots(), queuedServiceMillis, nowMillis);
            if (cost < bestCost) {
                best = endpoint;
                bestCost = cost;
            }
            if (++considered >= MAX_CANDIDATES || bestCost == 0) {
                break;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns the cost of serving an object at another endpoint than its first, in service times. */
    private double moveCost(PlacementQuery query, Endpoint endpoint, long nowMillis) {
        if (!query.affinity()) {
            return 0;
        }
        return recentPlacements.hasHandled(query.key(), endpoint.id(), nowMillis) ? WARM_MOVE_COST : CACHE_MISS_COST;
    }

    private Optional<Endpoint> firstCold(PlacementQuery query, List<Endpoint> order, long nowMillis) {
        for (Endpoint endpoint : order) {
            EndpointLoad load = loadOf(endpoint);
            if (!endpoint.isCold(nowMillis)) {
                load.resetColdTokens();
                continue;
            }
            boolean usable = !query.tried().contains(endpoint.id())
                    && !load.isSuspended(nowMillis)
                    && held.mayReceive(incarnation(endpoint), endpoint.slots(), load.inFlight(), nowMillis);
            if (usable
                    && load.tryAcquireColdToken(
                            coldRatePerSecond(query.service()), initialColdTokens(endpoint), nowMillis)) {
                return Optional.of(endpoint);
            }
        }
        return Optional.empty();
    }

    private double coldRatePerSecond(String service) {
        double bound = view.policy(service)
                .map(ServicePolicy::coldRequestsPerSecond)
                .map(rate -> rate * settings.coldLoadFactor() + settings.coldSlackRequests())
                .orElse(settings.coldSlackRequests());
        return COLD_RATE_FRACTION * bound / view.entryInstances();
    }

    /** Returns the initial fraction of a token; it differs between instances so that they do not all send at once. */
    private double initialColdTokens(Endpoint endpoint) {
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

    private boolean isCurrent(HeldEndpoints.Incarnation incarnation) {
        return view.endpoint(incarnation.id())
                .filter(endpoint -> endpoint.bornEpochMillis() == incarnation.bornEpochMillis())
                .isPresent();
    }

    private static HeldEndpoints.Incarnation incarnation(Endpoint endpoint) {
        return new HeldEndpoints.Incarnation(endpoint.id(), endpoint.bornEpochMillis());
    }

    private EndpointLoad loadOf(Endpoint endpoint) {
        return loads.computeIfAbsent(incarnation(endpoint), key -> new EndpointLoad());
    }
}
