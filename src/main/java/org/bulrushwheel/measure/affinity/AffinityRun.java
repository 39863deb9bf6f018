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
 * One load through the real choice of endpoints of all entry instances.
 *
 * <p>Invariant: the same seed gives the same result. Not thread safe.
 */
public final class AffinityRun {
    private static final String SERVICE = "desk";
    private static final double RUN_MILLIS = 40_000;
    private static final double WARM_UP_MILLIS = 8_000;
    private static final double WAY_MILLIS = 8;
    private static final double WAY_TO_OTHER_REGION_MILLIS = 28;
    private static final double WAVE_MILLIS = 36_000;
    private static final double WINDOW_MILLIS = 2_000;

    private record Event(double atMillis, long order, Runnable work) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final AffinityWorkload workload;
    private final double tellMillis;
    // Apart, so that the same requests come whatever is done with them.
    private final SplittableRandom arrivals;
    private final SplittableRandom work;
    private final TrafficRoute route;
    private final List<EndpointChooser> choosers = new ArrayList<>();
    private final Map<String, ModelEndpoint> endpoints = new HashMap<>();
    private final Set<Integer> telling = new HashSet<>();
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

    private AffinityRun(AffinityWorkload workload, double tellMillis, long seed) {
        this.workload = workload;
        this.tellMillis = tellMillis;
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
     * Runs a load.
     *
     * @param tellMillis how long a load of an endpoint takes to the other instances; infinite when it is not told
     */
    public static AffinityResult run(AffinityWorkload workload, double tellMillis, long seed) {
        return new AffinityRun(workload, tellMillis, seed).run();
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
                        .setZone("z" + region)
                        .setSlots(workload.slots()));
            }
        }
        FleetView view = FleetView.empty().after(update.build(), new JsonTrafficCodec(), zones, 0);
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
        double mostPerSecond = workload.requestsPerSecond() * (1 + workload.swing());
        double pauseMillis = -Math.log(1 - arrivals.nextDouble()) * 1_000 / mostPerSecond;
        if (nowMillis + pauseMillis < RUN_MILLIS) {
            after(pauseMillis, () -> {
                arrive();
                scheduleArrival();
            });
        }
    }

    private void arrive() {
        int entry = arrivals.nextInt(workload.entryInstances());
        String region = regionOf(entry);
        String object = region + "/" + arrivals.nextInt(workload.objectsPerRegion());
        double turn = nowMillis / WAVE_MILLIS + (entry % workload.regions()) / (double) workload.regions();
        double part = (1 + workload.swing() * Math.sin(2 * Math.PI * turn)) / (1 + workload.swing());
        if (arrivals.nextDouble() < part) {
            requests += counts(nowMillis);
            attempt(entry, nowMillis, object, Set.of());
        }
    }

    private void attempt(int entry, double startMillis, String object, Set<String> tried) {
        PlacementQuery query = new PlacementQuery(route, SERVICE, object, true, tried);
        Optional<Endpoint> choice = choosers.get(entry).choose(query, clock());
        if (choice.isEmpty() || tried.size() >= route.maxAttempts()) {
            lost += counts(startMillis);
            return;
        }
        choosers.get(entry).sent(choice.get(), query, clock());
        ModelRequest request = new ModelRequest(entry, startMillis, query, choice.get());
        after(wayMillis(request), () -> reach(request));
    }

    private void reach(ModelRequest request) {
        ModelEndpoint endpoint = endpoints.get(request.endpoint().id());
        if (endpoint.running < workload.slots()) {
            begin(endpoint, request);
        } else if (endpoint.waiting.size() < workload.queue()) {
            endpoint.waiting.add(request);
        } else {
            after(wayMillis(request), () -> {
                hear(request, endpoint.load());
                Set<String> tried = new HashSet<>(request.query().tried());
                tried.add(request.endpoint().id());
                attempt(request.entry(), request.startMillis(), request.query().key(), tried);
            });
        }
    }

    private void begin(ModelEndpoint endpoint, ModelRequest request) {
        boolean faster = endpoint.handles(request.query().key());
        runs++;
        fasterRuns += faster ? 1 : 0;
        countRegion(request);
        double spread = 0.75 + 0.5 * work.nextDouble();
        double workMillis = workload.coldMillis() * spread * (faster ? workload.warmPart() : 1);
        double deadlineMillis = request.startMillis() + workload.timeoutMillis();
        boolean whole = nowMillis + workMillis <= deadlineMillis;
        endpoint.running++;
        after(whole ? workMillis : Math.max(0, deadlineMillis - nowMillis), () -> end(endpoint, request, whole));
    }

    private void end(ModelEndpoint endpoint, ModelRequest request, boolean whole) {
        endpoint.running--;
        int load = endpoint.load();
        double tookMillis = nowMillis + wayMillis(request) - request.startMillis();
        int counted = counts(request.startMillis());
        if (!whole) {
            lost += counted;
        } else if (tookMillis <= workload.targetMillis()) {
            inTime += counted;
        } else {
            late += counted;
        }
        after(wayMillis(request), () -> {
            hear(request, load);
            if (whole) {
                choosers.get(request.entry()).answered(request.endpoint(), route.name(), Math.round(tookMillis));
            }
        });
        while (endpoint.running < workload.slots() && !endpoint.waiting.isEmpty()) {
            ModelRequest next = endpoint.waiting.poll();
            if (next.startMillis() + workload.timeoutMillis() > nowMillis) {
                begin(endpoint, next);
            } else {
                choosers.get(next.entry()).ended(next.endpoint());
                lost += counts(next.startMillis());
            }
        }
    }

    /** An entry instance hears an endpoint's load with its answer, and tells the others. */
    private void hear(ModelRequest request, int load) {
        EndpointChooser chooser = choosers.get(request.entry());
        chooser.ended(request.endpoint());
        boolean news = chooser.onLoadReport(request.endpoint(), load, clock());
        if (news && Double.isFinite(tellMillis) && telling.add(request.entry())) {
            // Part of the way is the pause in which an instance gathers loads.
            after(tellMillis / 2, () -> {
                telling.remove(request.entry());
                List<SeenLoad> loads = chooser.takeUnsentLoads(clock());
                after(
                        tellMillis / 2,
                        () -> choosers.forEach(other -> loads.forEach(seen -> other.onPeerLoad(
                                seen.toBuilder()
                                        .setAgeMillis(seen.getAgeMillis() + (int) (tellMillis / 2))
                                        .build(),
                                clock()))));
            });
        }
    }

    private void countRegion(ModelRequest request) {
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

    private double wayMillis(ModelRequest request) {
        boolean near = request.endpoint().region().equals(regionOf(request.entry()));
        return near ? WAY_MILLIS : WAY_TO_OTHER_REGION_MILLIS;
    }

    private int counts(double startMillis) {
        return startMillis >= WARM_UP_MILLIS ? 1 : 0;
    }

    private long clock() {
        return (long) nowMillis;
    }

    private void after(double delayMillis, Runnable work) {
        events.add(new Event(nowMillis + delayMillis, order++, work));
    }
}
