package org.bulrushwheel.measure.affinity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

import org.bulrushwheel.logic.fleet.FleetView;
import org.bulrushwheel.logic.fleet.JsonTrafficCodec;
import org.bulrushwheel.logic.placement.EndpointChooser;
import org.bulrushwheel.logic.placement.PlacementQuery;
import org.bulrushwheel.logic.placement.PlacementSettings;
import org.bulrushwheel.model.proto.EndpointRecord;
import org.bulrushwheel.model.proto.FleetUpdate;
import org.bulrushwheel.model.proto.SeenLoad;
import org.bulrushwheel.model.traffic.Endpoint;
import org.bulrushwheel.model.traffic.RouteKind;
import org.bulrushwheel.model.traffic.TrafficRoute;
import org.bulrushwheel.model.traffic.WeightedService;

/**
 * Simulates one workload with the production endpoint selection of every entry instance.
 *
 * <p>Invariant: the same seed gives the same result. Not thread safe.
 */
public final class AffinityRun {
    private static final String SERVICE = "desk";
    private static final String ADDRESS = "10.0.0.1:80";
    private static final double RUN_MILLIS = 40_000;
    private static final double WARM_UP_MILLIS = 8_000;
    private static final double NETWORK_MILLIS = 8;
    private static final double NETWORK_TO_OTHER_REGION_MILLIS = 28;
    private static final double SWING_PERIOD_MILLIS = 36_000;
    private static final double WINDOW_MILLIS = 2_000;

    private record Event(double atMillis, long order, Runnable work) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final AffinityWorkload workload;
    private final double sharingDelayMillis;
    // Separate from the generator for execution times, so that the arrivals do not depend on how requests are placed.
    private final SplittableRandom arrivals;
    private final SplittableRandom work;
    private final TrafficRoute route;
    private final List<EndpointChooser> choosers = new ArrayList<>();
    private final Map<String, ModelEndpoint> endpoints = new HashMap<>();
    private final Set<Integer> sharingEntries = new HashSet<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Map<String, int[]>> runsByWindow = new ArrayList<>();
    private double nowMillis;
    private long order;
    private int requests;
    private int inTime;
    private int late;
    private int lost;
    private int runs;
    private int fasterRuns;

    private AffinityRun(AffinityWorkload workload, double sharingDelayMillis, long seed) {
        this.workload = workload;
        this.sharingDelayMillis = sharingDelayMillis;
        this.arrivals = new SplittableRandom(seed);
        this.work = arrivals.split();
        this.route = new TrafficRoute(
                "read",
                "host.example",
                "/",
                RouteKind.REPEATABLE,
                (long) workload.timeoutMillis(),
                (long) workload.targetMillis(),
                1,
                List.of(new WeightedService(SERVICE, 1)),
                2,
                true,
                Set.of());
        build();
    }

    /**
     * Simulates a workload.
     *
     * @param sharingDelayMillis delay until other entry instances receive an endpoint load; infinite if not shared
     */
    public static AffinityResult run(AffinityWorkload workload, double sharingDelayMillis, long seed) {
        return new AffinityRun(workload, sharingDelayMillis, seed).run();
    }

    private void build() {
        FleetUpdate.Builder update =
                FleetUpdate.newBuilder().setRevision(1).setEntryInstances(workload.entryInstances());
        Map<String, String> zones = new HashMap<>();
        List<String> regions = new ArrayList<>();
        for (int region = 0; region < workload.regions(); region++) {
            regions.add("r" + region);
            zones.put("z" + region, "r" + region);
            for (int index = 0; index < workload.endpointsPerRegion(); index++) {
                String id = "e" + region + "-" + index;
                endpoints.put(id, new ModelEndpoint(workload.objectsKept()));
                update.addEndpoints(EndpointRecord.newBuilder()
                        .setId(id)
                        .setService(SERVICE)
                        .setAddress(ADDRESS)
                        .setZone("z" + region)
                        .setSlots(workload.slots()));
            }
        }
        FleetView view = FleetView.empty().withUpdate(update.build(), new JsonTrafficCodec(), zones, 0);
        for (int entry = 0; entry < workload.entryInstances(); entry++) {
            EndpointChooser chooser =
                    new EndpointChooser(new PlacementSettings("entry-" + entry, regionOf(entry), regions, 1, 1));
            chooser.setView(view);
            choosers.add(chooser);
        }
    }

    private AffinityResult run() {
        scheduleArrival();
        while (!events.isEmpty()) {
            Event next = events.poll();
            nowMillis = next.atMillis();
            next.work().run();
        }
        return new AffinityResult(
                requests, inTime, late, lost, fasterRuns / (double) Math.max(1, runs), MovedPart.largest(runsByWindow));
    }

    private void scheduleArrival() {
        double peakPerSecond = workload.requestsPerSecond() * (1 + workload.swing());
        double interarrivalMillis = -Math.log(1 - arrivals.nextDouble()) * 1_000 / peakPerSecond;
        if (nowMillis + interarrivalMillis < RUN_MILLIS) {
            after(interarrivalMillis, () -> {
                arrive();
                scheduleArrival();
            });
        }
    }

    private void arrive() {
        int entry = arrivals.nextInt(workload.entryInstances());
        String region = regionOf(entry);
        String object = region + "/" + arrivals.nextInt(workload.objectsPerRegion());
        double phase = nowMillis / SWING_PERIOD_MILLIS + (entry % workload.regions()) / (double) workload.regions();
        double acceptProbability = (1 + workload.swing() * Math.sin(2 * Math.PI * phase)) / (1 + workload.swing());
        if (arrivals.nextDouble() < acceptProbability) {
            requests += countAfterWarmUp(nowMillis);
            attempt(entry, nowMillis, object, Set.of());
        }
    }

    private void attempt(int entry, double startMillis, String object, Set<String> tried) {
        PlacementQuery query = new PlacementQuery(route, SERVICE, object, true, tried);
        Optional<Endpoint> choice = choosers.get(entry).choose(query, clock());
        if (choice.isEmpty() || tried.size() >= route.maxAttempts()) {
            lost += countAfterWarmUp(startMillis);
            return;
        }
        choosers.get(entry).onSent(choice.get(), query, clock());
        ModelRequest request = new ModelRequest(entry, startMillis, query, choice.get());
        after(networkMillis(request), () -> arriveAtEndpoint(request));
    }

    private void arriveAtEndpoint(ModelRequest request) {
        ModelEndpoint endpoint = endpoints.get(request.endpoint().id());
        if (endpoint.running < workload.slots()) {
            startExecution(endpoint, request);
        } else if (endpoint.waiting.size() < workload.queue()) {
            endpoint.waiting.add(request);
        } else {
            after(networkMillis(request), () -> {
                receiveLoad(request, endpoint.load());
                Set<String> tried = new HashSet<>(request.query().tried());
                tried.add(request.endpoint().id());
                attempt(request.entry(), request.startMillis(), request.query().key(), tried);
            });
        }
    }

    private void startExecution(ModelEndpoint endpoint, ModelRequest request) {
        boolean faster = endpoint.useObject(request.query().key());
        runs++;
        fasterRuns += faster ? 1 : 0;
        countExecution(request);
        double spread = 0.75 + 0.5 * work.nextDouble();
        double workMillis = workload.coldMillis() * spread * (faster ? workload.warmPart() : 1);
        double deadlineMillis = request.startMillis() + workload.timeoutMillis();
        boolean completes = nowMillis + workMillis <= deadlineMillis;
        endpoint.running++;
        after(
                completes ? workMillis : Math.max(0, deadlineMillis - nowMillis),
                () -> finishExecution(endpoint, request, completes));
    }

    private void finishExecution(ModelEndpoint endpoint, ModelRequest request, boolean completes) {
        endpoint.running--;
        int load = endpoint.load();
        double tookMillis = nowMillis + networkMillis(request) - request.startMillis();
        int count = countAfterWarmUp(request.startMillis());
        if (!completes) {
            lost += count;
        } else if (tookMillis <= workload.targetMillis()) {
            inTime += count;
        } else {
            late += count;
        }
        after(networkMillis(request), () -> {
            receiveLoad(request, load);
            if (completes) {
                choosers.get(request.entry()).onAnswer(request.endpoint(), route.name(), Math.round(tookMillis));
            }
        });
        while (endpoint.running < workload.slots() && !endpoint.waiting.isEmpty()) {
            ModelRequest next = endpoint.waiting.poll();
            if (next.startMillis() + workload.timeoutMillis() > nowMillis) {
                startExecution(endpoint, next);
            } else {
                choosers.get(next.entry()).onEnded(next.endpoint());
                lost += countAfterWarmUp(next.startMillis());
            }
        }
    }

    /** Passes the load that came with an answer to the entry instance, which shares it with all entry instances. */
    private void receiveLoad(ModelRequest request, int load) {
        EndpointChooser chooser = choosers.get(request.entry());
        chooser.onEnded(request.endpoint());
        boolean changed = chooser.onLoadReport(request.endpoint(), load, clock());
        if (changed && Double.isFinite(sharingDelayMillis) && sharingEntries.add(request.entry())) {
            // Half of the delay is the pause in which an instance collects loads before it sends them in one batch.
            after(sharingDelayMillis / 2, () -> {
                sharingEntries.remove(request.entry());
                List<SeenLoad> loads = chooser.takeUnsentLoads(clock());
                after(
                        sharingDelayMillis / 2,
                        () -> choosers.forEach(other -> loads.forEach(seen -> other.onPeerLoad(
                                seen.toBuilder()
                                        .setAgeMillis(seen.getAgeMillis() + (int) (sharingDelayMillis / 2))
                                        .build(),
                                clock()))));
            });
        }
    }

    private void countExecution(ModelRequest request) {
        int window = (int) (nowMillis / WINDOW_MILLIS);
        while (runsByWindow.size() <= window) {
            runsByWindow.add(new HashMap<>());
        }
        String from = regionOf(request.entry());
        int to = Integer.parseInt(request.endpoint().region().substring(1));
        runsByWindow.get(window).computeIfAbsent(from, region -> new int[workload.regions()])[to]++;
    }

    private String regionOf(int entry) {
        return "r" + entry % workload.regions();
    }

    private double networkMillis(ModelRequest request) {
        boolean sameRegion = request.endpoint().region().equals(regionOf(request.entry()));
        return sameRegion ? NETWORK_MILLIS : NETWORK_TO_OTHER_REGION_MILLIS;
    }

    private int countAfterWarmUp(double startMillis) {
        return startMillis >= WARM_UP_MILLIS ? 1 : 0;
    }

    private long clock() {
        return (long) nowMillis;
    }

    private void after(double delayMillis, Runnable work) {
        events.add(new Event(nowMillis + delayMillis, order++, work));
    }
}
