package org.bulrushwheel.measure.steer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.HdrHistogram.Histogram;

/**
 * One run of a policy under a load.
 *
 * <p>Not thread safe.
 */
final class SteerRun {
    static final double SERVICE_MICROS = 20_000;
    static final long ANSWER_BYTES = 64 * 1024;
    private static final long TICK_MICROS = 5_000;
    private static final long REPORT_MICROS = 1_000_000;
    private static final long WARM_UP_MICROS = 2_000_000;
    private static final long RUN_MICROS = 8_000_000;
    private static final int MAX_ATTEMPTS = 4;
    private static final long CALLER_PAUSE_MICROS = 100_000;
    private static final long CALLER_PATIENCE_MICROS = 2_000_000;
    /** Share of the traffic of each zone: the first has a rush. */
    private static final double RUSH = 1.6;

    private final SteerWorld world;
    private final SteerPolicy policy;
    private final double load;
    private final SteerScenario scenario;
    private final Histogram latencyMicros = new Histogram(3);
    private final Map<String, Integer> inFlightByZone = new HashMap<>();
    private final Map<String, Long> linkBytes = new HashMap<>();
    private final String lostZone;
    private long sent;
    private long answered;
    private long refusals;
    private long lostRequests;
    private long sheds;
    private long overRegion;
    private long worstLinkBytes;
    private long requestIds;
    private boolean lost;

    SteerRun(SteerWorld world, SteerPolicy policy, double load, SteerScenario scenario) {
        this.world = world;
        this.policy = policy;
        this.load = load;
        this.scenario = scenario;
        this.lostZone = world.deployment().zones().get(1);
    }

    SteerResult run() {
        for (int entry = 0; entry < world.entries(); entry++) {
            scheduleArrival(entry);
        }
        scheduleTick();
        scheduleReports();
        scheduleSecond();
        if (scenario == SteerScenario.ZONE_LOST) {
            world.after(WARM_UP_MICROS + 2_000_000, this::loseZone);
        }
        SteerEndpoint leaving = world.endpoints().get(0);
        long leaveMicros = WARM_UP_MICROS + 4_000_000;
        if (scenario == SteerScenario.ENDPOINT_LEAVES) {
            world.after(leaveMicros, () -> policy.leave(leaving));
        }
        world.runUntil(WARM_UP_MICROS + RUN_MICROS);
        double seconds = RUN_MICROS / 1e6;
        return new SteerResult(
                latencyMicros.getValueAtPercentile(50) / 1e3,
                latencyMicros.getValueAtPercentile(99) / 1e3,
                sheds,
                overRegion,
                answered / seconds,
                refusals / (double) Math.max(1, sent),
                lostRequests / (double) Math.max(1, sent),
                worstLinkBytes / (double) world.deployment().linkBytesPerSecond(),
                Math.max(0, leaving.lastArrivalMicros() - leaveMicros) / 1e3);
    }

    /** Requests a second that all slots together can run. */
    static double capacityPerSecond(SteerDeployment deployment) {
        return deployment.capacity() * 1e6 / SERVICE_MICROS;
    }

    private void scheduleArrival(int entry) {
        List<String> zones = world.deployment().zones();
        boolean rush = world.zoneOf(entry).equals(zones.get(0));
        double weight = rush ? RUSH : (zones.size() - RUSH) / (zones.size() - 1);
        double ratePerSecond = load * capacityPerSecond(world.deployment()) * weight / world.entries();
        world.after(world.exponentialMicros(1e6 / ratePerSecond), () -> {
            arrive(lost && world.zoneOf(entry).equals(lostZone) ? siblingOf(entry) : entry);
            scheduleArrival(entry);
        });
    }

    /** Callers of a lost zone go to the other zone of its region. */
    private int siblingOf(int entry) {
        return entry - world.deployment().entriesPerZone();
    }

    private void arrive(int entry) {
        SteerRequest request = new SteerRequest(requestIds++, world.nowMicros());
        if (measured(request)) {
            sent++;
        }
        attempt(entry, request);
    }

    private void attempt(int entry, SteerRequest request) {
        policy.choose(entry, request, endpoint -> {
            if (endpoint == null) {
                refuse(entry, request);
            } else {
                send(entry, request, endpoint);
            }
        });
    }

    private void send(int entry, SteerRequest request, SteerEndpoint endpoint) {
        request.tried().add(endpoint.name());
        inFlightByZone.merge(endpoint.zone(), 1, Integer::sum);
        if (measured(request) && isRegionOver(SteerDeployment.regionOf(endpoint.zone()))) {
            overRegion++;
        }
        long delayMicros = world.deployment().delayMicros(world.zoneOf(entry), endpoint.zone());
        countLink(entry, endpoint);
        world.after(delayMicros, () -> {
            boolean runs = endpoint.tryRun(world.nowMicros());
            long serviceMicros = runs ? world.exponentialMicros(SERVICE_MICROS) : 0;
            world.after(serviceMicros, () -> {
                if (runs) {
                    endpoint.finish();
                }
                world.after(delayMicros, () -> onAnswer(entry, request, endpoint, runs));
            });
        });
    }

    private void onAnswer(int entry, SteerRequest request, SteerEndpoint endpoint, boolean ran) {
        inFlightByZone.merge(endpoint.zone(), -1, Integer::sum);
        policy.finished(entry, endpoint, !ran);
        if (ran) {
            answered += world.nowMicros() >= WARM_UP_MICROS ? 1 : 0;
            if (measured(request)) {
                latencyMicros.recordValue(world.nowMicros() - request.arrivedMicros());
            }
            return;
        }
        sheds += measured(request) ? 1 : 0;
        if (policy.retriesSheds() && request.tried().size() < MAX_ATTEMPTS) {
            attempt(entry, request);
        } else {
            refuse(entry, request);
        }
    }

    /** The caller of a refused request sends it again after a pause, until its patience ends. */
    private void refuse(int entry, SteerRequest request) {
        refusals += measured(request) ? 1 : 0;
        long pauseMicros = CALLER_PAUSE_MICROS + (long) (world.random().nextDouble() * CALLER_PAUSE_MICROS);
        if (world.nowMicros() + pauseMicros - request.arrivedMicros() > CALLER_PATIENCE_MICROS) {
            lostRequests += measured(request) ? 1 : 0;
            return;
        }
        world.after(pauseMicros, () -> {
            request.tried().clear();
            attempt(entry, request);
        });
    }

    private void countLink(int entry, SteerEndpoint endpoint) {
        String from = SteerDeployment.regionOf(world.zoneOf(entry));
        String to = SteerDeployment.regionOf(endpoint.zone());
        if (!from.equals(to)) {
            linkBytes.merge(to + ">" + from, ANSWER_BYTES, Long::sum);
        }
    }

    /** Whether more requests are in flight to the living endpoints of a region than they have slots. */
    private boolean isRegionOver(String region) {
        int slots = 0;
        int inFlight = 0;
        for (String zone : world.deployment().zones()) {
            if (SteerDeployment.regionOf(zone).equals(region) && !(lost && zone.equals(lostZone))) {
                inFlight += inFlightByZone.getOrDefault(zone, 0);
                slots += slotsOf(zone);
            }
        }
        return inFlight > slots;
    }

    private int slotsOf(String zone) {
        return world.endpoints().stream()
                .filter(endpoint -> endpoint.zone().equals(zone))
                .mapToInt(SteerEndpoint::slots)
                .sum();
    }

    private boolean measured(SteerRequest request) {
        return request.arrivedMicros() >= WARM_UP_MICROS;
    }

    private void loseZone() {
        lost = true;
        world.endpoints().stream()
                .filter(endpoint -> endpoint.zone().equals(lostZone))
                .forEach(SteerEndpoint::lose);
        policy.loseZone(lostZone);
    }

    private void scheduleTick() {
        policy.tick();
        world.after(TICK_MICROS, this::scheduleTick);
    }

    private void scheduleReports() {
        world.endpoints().forEach(SteerEndpoint::report);
        world.after(REPORT_MICROS, this::scheduleReports);
    }

    private void scheduleSecond() {
        if (world.nowMicros() > WARM_UP_MICROS) {
            worstLinkBytes = Math.max(
                    worstLinkBytes,
                    linkBytes.values().stream().mapToLong(Long::longValue).max().orElse(0));
        }
        linkBytes.clear();
        world.after(1_000_000, this::scheduleSecond);
    }
}
