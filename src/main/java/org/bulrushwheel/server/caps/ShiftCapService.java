package org.bulrushwheel.server.caps;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import org.bulrushwheel.control.ReplicaStatus;
import org.bulrushwheel.kernel.KernelService;
import org.bulrushwheel.kernel.ServiceTimer;
import org.bulrushwheel.logic.budget.RateBudgetOwner;
import org.bulrushwheel.logic.budget.RateLimiter;
import org.bulrushwheel.logic.budget.RateTimings;
import org.bulrushwheel.logic.config.ShiftCalendar;
import org.bulrushwheel.logic.raft.RaftRole;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.config.Configuration;
import org.bulrushwheel.model.config.ShiftCap;
import org.bulrushwheel.model.config.VersionedConfiguration;
import org.bulrushwheel.model.instance.Instance;
import org.bulrushwheel.model.proto.Frame;
import org.bulrushwheel.model.proto.RateAmount;
import org.bulrushwheel.model.proto.RateDemand;
import org.bulrushwheel.model.proto.RateGrant;
import org.bulrushwheel.model.proto.RateRequest;
import org.bulrushwheel.model.settings.Settings;
import org.bulrushwheel.server.gateway.Admission;
import org.bulrushwheel.wire.PeerNetwork;

/**
 * Enforces the shift caps: keeps the request rate of all instances together within the cap of the current shift. Half
 * of a cap is divided evenly among the instances as guaranteed floors; the leader of the control replicas grants the
 * other half by demand.
 *
 * <p>Invariant: floors and valid grants add up to at most the cap; a new leader grants nothing until the grants of its
 * predecessor have expired. Thread safe: guarded by itself.
 */
public final class ShiftCapService implements KernelService, Admission {
    /** Name of the service in the kernel. */
    public static final String NAME = "caps";

    private static final RateTimings TIMINGS = RateTimings.CAPS;
    private static final int FLOOR_DIVISOR = 2;

    private final Settings settings;
    private final PeerNetwork peers;
    private final Supplier<VersionedConfiguration> configuration;
    private final Supplier<Optional<ReplicaStatus>> replica;
    private final TimeSource time;
    private final MetricRegistry metrics;
    private final List<String> controlInstances;
    private final Map<String, Limit> limitsByName = new HashMap<>();
    private final Map<String, RateBudgetOwner> ownersByName = new HashMap<>();
    private final ServiceTimer timer;
    private long leaderSinceMillis = Long.MAX_VALUE;
    private long leaderTerm = -1;
    private long sequence;
    private int controlIndex;
    private boolean responseReceived;

    /** Local limiter for one cap, with the send times of the requests for it. */
    private static final class Limit {
        private final RateLimiter limiter;
        private final Map<Long, Long> requestedMillisBySequence = new HashMap<>();

        private Limit(long floorPerSecond) {
            limiter = new RateLimiter(floorPerSecond);
        }
    }

    /** Creates the service; grants are requested from the control instances in the settings. */
    public ShiftCapService(
            Settings settings,
            PeerNetwork peers,
            Supplier<VersionedConfiguration> configuration,
            Supplier<Optional<ReplicaStatus>> replica,
            TimeSource time,
            MetricRegistry metrics) {
        this.settings = settings;
        this.peers = peers;
        this.configuration = configuration;
        this.replica = replica;
        this.time = time;
        this.timer = new ServiceTimer(NAME, metrics);
        this.metrics = metrics;
        this.controlInstances = settings.instances().stream()
                .filter(Instance::control)
                .map(Instance::name)
                .toList();
        peers.handle(Frame.BodyCase.RATE_REQUEST, (frame, reply) -> onRequest(frame));
        peers.handle(Frame.BodyCase.RATE_GRANT, (frame, reply) -> onGrant(frame.getRateGrant()));
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        timer.every(TIMINGS.renewMillis(), this::renew);
    }

    @Override
    public void stop() {
        timer.close();
    }

    @Override
    public synchronized boolean tryAdmit(String service) {
        Optional<ShiftCap> cap = currentCap(service);
        if (cap.isEmpty()) {
            return true;
        }
        return limitOf(cap.get()).limiter.tryAcquire(time.monotonicMillis());
    }

    private Optional<ShiftCap> currentCap(String service) {
        Configuration current = configuration.get().configuration();
        if (current.shiftCaps().isEmpty()) {
            return Optional.empty();
        }
        return new ShiftCalendar(current)
                .shiftAt(time.epochMillis())
                .flatMap(shift -> current.capOf(service, shift.name()));
    }

    private Limit limitOf(ShiftCap cap) {
        return limitsByName.computeIfAbsent(nameOf(cap), name -> new Limit(floorOf(cap)));
    }

    private long floorOf(ShiftCap cap) {
        return cap.requestsPerSecond() / FLOOR_DIVISOR / settings.instances().size();
    }

    /** Includes the rate, so that a changed cap is a new limit and grants for the old cap are dropped. */
    private static String nameOf(ShiftCap cap) {
        return cap.service() + "/" + cap.shift() + "/" + cap.requestsPerSecond();
    }

    private void renew() {
        RateRequest.Builder request = RateRequest.newBuilder();
        String controlInstance;
        synchronized (this) {
            updateLeadership();
            if (controlInstances.isEmpty() || limitsByName.isEmpty()) {
                return;
            }
            if (!responseReceived) {
                controlIndex++;
            }
            responseReceived = false;
            controlInstance = controlInstances.get(controlIndex % controlInstances.size());
            limitsByName.forEach((name, limit) -> request.addDemands(demandOf(name, limit)));
        }
        peers.send(controlInstance, Frame.newBuilder().setRateRequest(request));
    }

    private RateDemand demandOf(String name, Limit limit) {
        long now = time.monotonicMillis();
        limit.requestedMillisBySequence.values().removeIf(requested -> requested < now - TIMINGS.validMillis());
        limit.requestedMillisBySequence.put(++sequence, now);
        return RateDemand.newBuilder()
                .setLimit(name)
                .setSequence(sequence)
                .setWanted(limit.limiter.wantedPerSecond(now))
                .build();
    }

    private void onRequest(Frame frame) {
        RateGrant.Builder grant = RateGrant.newBuilder();
        synchronized (this) {
            if (!mayGrant()) {
                return;
            }
            for (RateDemand demand : frame.getRateRequest().getDemandsList()) {
                ownerOf(demand.getLimit())
                        .ifPresent(owner -> grant.addAmounts(RateAmount.newBuilder()
                                .setLimit(demand.getLimit())
                                .setSequence(demand.getSequence())
                                .setValidForMillis(TIMINGS.validMillis())
                                .setGranted(
                                        owner.request(frame.getSender(), demand.getWanted(), time.monotonicMillis()))));
            }
        }
        metrics.meter("caps.grants.sent").mark();
        peers.send(frame.getSender(), Frame.newBuilder().setRateGrant(grant));
    }

    private synchronized void onGrant(RateGrant grant) {
        responseReceived = true;
        for (RateAmount amount : grant.getAmountsList()) {
            Limit limit = limitsByName.get(amount.getLimit());
            Long requestedMillis = limit == null ? null : limit.requestedMillisBySequence.get(amount.getSequence());
            if (requestedMillis != null) {
                limit.limiter.onGrant(amount.getGranted(), requestedMillis + amount.getValidForMillis());
            }
        }
    }

    /** Returns the budget owner of a limit, or empty if the configuration in force does not contain the limit. */
    private Optional<RateBudgetOwner> ownerOf(String name) {
        Optional<ShiftCap> cap = configuration.get().configuration().shiftCaps().stream()
                .filter(candidate -> nameOf(candidate).equals(name))
                .findFirst();
        return cap.map(inForce -> {
            RateBudgetOwner owner = ownersByName.computeIfAbsent(name, limit -> new RateBudgetOwner(TIMINGS));
            owner.setGrantablePerSecond(inForce.requestsPerSecond()
                    - floorOf(inForce) * settings.instances().size());
            return owner;
        });
    }

    private boolean mayGrant() {
        updateLeadership();
        return leaderSinceMillis != Long.MAX_VALUE
                && time.monotonicMillis() - leaderSinceMillis >= TIMINGS.takeoverMillis();
    }

    private void updateLeadership() {
        Optional<ReplicaStatus> leaderStatus =
                replica.get().filter(status -> status.role() == RaftRole.LEADER && status.running());
        if (leaderStatus.isEmpty()) {
            leaderSinceMillis = Long.MAX_VALUE;
            ownersByName.clear();
        } else if (leaderSinceMillis == Long.MAX_VALUE || leaderStatus.get().term() != leaderTerm) {
            leaderSinceMillis = time.monotonicMillis();
            leaderTerm = leaderStatus.get().term();
            ownersByName.clear();
        }
    }
}
