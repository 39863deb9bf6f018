package org.bulrushwheel.server.slots;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Either;
import org.bulrushwheel.kernel.KernelService;
import org.bulrushwheel.kernel.ServiceTimer;
import org.bulrushwheel.logic.budget.LinkMeter;
import org.bulrushwheel.logic.budget.LinkShares;
import org.bulrushwheel.logic.retry.RetryAfter;
import org.bulrushwheel.logic.steering.EndpointLimits;
import org.bulrushwheel.logic.steering.PoolReference;
import org.bulrushwheel.logic.steering.ServiceSlots;
import org.bulrushwheel.logic.steering.SlotAction;
import org.bulrushwheel.logic.steering.SlotOutcome;
import org.bulrushwheel.logic.steering.SteeringPlan;
import org.bulrushwheel.logic.steering.SteeringTimings;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.config.AvailabilityZone;
import org.bulrushwheel.model.config.Configuration;
import org.bulrushwheel.model.config.VersionedConfiguration;
import org.bulrushwheel.model.decision.Decision;
import org.bulrushwheel.model.decision.DecisionField;
import org.bulrushwheel.model.decision.DecisionKind;
import org.bulrushwheel.model.decision.DecisionSink;
import org.bulrushwheel.model.instance.Instance;
import org.bulrushwheel.model.proto.Frame;
import org.bulrushwheel.model.proto.SlotAddress;
import org.bulrushwheel.model.proto.SlotGrant;
import org.bulrushwheel.model.refusal.Refusal;
import org.bulrushwheel.model.settings.Settings;
import org.bulrushwheel.model.upstream.Upstream;
import org.bulrushwheel.server.gateway.AttemptOutcome;
import org.bulrushwheel.server.gateway.SlotLease;
import org.bulrushwheel.server.gateway.SlotQuery;
import org.bulrushwheel.server.gateway.SlotSource;
import org.bulrushwheel.server.membership.MembershipService;
import org.bulrushwheel.server.upstreams.UpstreamService;
import org.bulrushwheel.wire.PeerNetwork;

/**
 * Acquires slots for the gateway of this instance, and grants slots from the pools that this instance owns.
 *
 * <p>Invariant: queues, holders and owned pools change under one lock; messages are sent and requests are completed
 * outside of it. Thread safe.
 */
public final class SlotService implements KernelService, SlotSource {
    /** Name of the service in the kernel. */
    public static final String NAME = "slots";

    private static final long BUSY_TICK_MILLIS = 5;
    private static final long IDLE_TICK_MILLIS = 50;
    private static final long OWNER_TICK_MILLIS = 50;
    private static final long RETRY_AFTER_SECONDS = 1;

    private final Settings settings;
    private final long incarnation;
    private final PeerNetwork peers;
    private final MembershipService membership;
    private final UpstreamService upstreams;
    private final Supplier<VersionedConfiguration> configuration;
    private final TimeSource time;
    private final MetricRegistry metrics;
    private final DecisionSink decisions;
    private final OwnedPools ownedPools;
    private final PoolOwnerResolver ownerResolver;
    private final LinkMeter links = new LinkMeter();
    private final Map<String, ServiceSlots> slotsByService = new HashMap<>();
    private final Map<String, String> ownerByPool = new HashMap<>();
    private final Map<Long, PendingRequest> pending = new HashMap<>();
    private final ServiceTimer timer;
    private long nextRequestId;
    private long nextOwnerTickMillis;
    private boolean tickScheduled;

    private record PendingRequest(String service, CompletableFuture<Either<Refusal, SlotLease>> answer) {}

    /** Creates the service and registers its metrics and message handlers. */
    public SlotService(
            Settings settings,
            long incarnation,
            PeerNetwork peers,
            MembershipService membership,
            UpstreamService upstreams,
            Supplier<VersionedConfiguration> configuration,
            TimeSource time,
            MetricRegistry metrics,
            DecisionSink decisions) {
        this.decisions = decisions;
        this.settings = settings;
        this.incarnation = incarnation;
        this.peers = peers;
        this.membership = membership;
        this.upstreams = upstreams;
        this.configuration = configuration;
        this.time = time;
        this.timer = new ServiceTimer(NAME, metrics);
        this.metrics = metrics;
        this.ownedPools = new OwnedPools(settings.zone(), membership::owns, this::limitsOf);
        this.ownerResolver = new PoolOwnerResolver(settings.zone(), membership::ownerOf, this::instancesOf);
        metrics.register("slots.pools.owned", (Gauge<Integer>) () -> locked(ownedPools::size));
        metrics.register("slots.requests.waiting", (Gauge<Integer>) () -> locked(pending::size));
        peers.handle(Frame.BodyCase.SLOT_REQUEST, (frame, reply) -> onRequest(frame));
        peers.handle(Frame.BodyCase.SLOT_GRANT, (frame, reply) -> onGrant(frame.getSlotGrant()));
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        timer.every(IDLE_TICK_MILLIS, this::tick);
    }

    @Override
    public void stop() {
        timer.close();
    }

    @Override
    public CompletableFuture<Either<Refusal, SlotLease>> acquire(SlotQuery query) {
        CompletableFuture<Either<Refusal, SlotLease>> answer = new CompletableFuture<>();
        run(query.service(), () -> {
            long requestId = nextRequestId++;
            pending.put(requestId, new PendingRequest(query.service(), answer));
            return slotsOf(query.service())
                    .submit(
                            requestId,
                            query.excluded(),
                            query.waitingSinceMillis(),
                            query.deadlineMillis(),
                            time.monotonicMillis());
        });
        scheduleTickWhilePending();
        return answer;
    }

    private void tick() {
        List<Runnable> effects = new ArrayList<>();
        synchronized (this) {
            long now = time.monotonicMillis();
            if (now >= nextOwnerTickMillis) {
                nextOwnerTickMillis = now + OWNER_TICK_MILLIS;
                ownedPools.tick(now).forEach((service, grants) -> effects.addAll(sendGrants(service, grants)));
                slotsByService.keySet().forEach(service -> effects.addAll(detectOwnerChange(service, now)));
            }
            slotsByService.forEach((service, slots) -> effects.addAll(effectsOf(service, slots.tick(now))));
        }
        effects.forEach(Runnable::run);
    }

    /** Schedules ticks at the short interval while requests are pending. */
    private synchronized void scheduleTickWhilePending() {
        if (!pending.isEmpty() && !tickScheduled) {
            tickScheduled = true;
            timer.after(BUSY_TICK_MILLIS, () -> {
                synchronized (this) {
                    tickScheduled = false;
                }
                tick();
                scheduleTickWhilePending();
            });
        }
    }

    /**
     * Detects a new owner of the service's pool in the own zone. A new owner has no record of the grants of the
     * previous one, so this instance ends its session with the previous owner and requests slots again.
     */
    private List<Runnable> detectOwnerChange(String service, long nowMillis) {
        String pool = ServiceSlots.poolName(settings.zone(), service);
        String owner = membership.ownerOf(pool).orElse("");
        String previousOwner = ownerByPool.put(pool, owner);
        boolean changed = previousOwner != null && !previousOwner.equals(owner);
        return changed
                ? effectsOf(service, slotsByService.get(service).onOwnerChanged(settings.zone(), nowMillis))
                : List.of();
    }

    private void onRequest(Frame frame) {
        String pool = frame.getSlotRequest().getPool();
        int slash = pool.indexOf('/');
        String service = pool.substring(slash + 1);
        boolean ownZone = pool.substring(0, Math.max(0, slash)).equals(settings.zone());
        boolean remote = settings.peers().stream()
                .anyMatch(peer ->
                        peer.name().equals(frame.getSender()) && !peer.zone().equals(settings.zone()));
        List<Runnable> effects = new ArrayList<>();
        synchronized (this) {
            Optional<Map<String, SlotGrant>> grants = ownZone
                    ? ownedPools.onRequest(
                            service, frame.getSender(), remote, frame.getSlotRequest(), time.monotonicMillis())
                    : Optional.empty();
            grants.ifPresentOrElse(
                    granted -> effects.addAll(sendGrants(service, granted)),
                    () -> effects.addAll(redirectToOwner(pool, frame.getSender())));
        }
        effects.forEach(Runnable::run);
    }

    private List<Runnable> redirectToOwner(String pool, String requester) {
        Optional<String> owner = membership.ownerOf(pool).filter(name -> !name.equals(settings.instance()));
        if (owner.isEmpty()) {
            return List.of();
        }
        SlotGrant answer = SlotGrant.newBuilder()
                .setPool(pool)
                .setNotOwner(true)
                .setOwner(owner.get())
                .build();
        return List.of(() -> peers.send(requester, Frame.newBuilder().setSlotGrant(answer)));
    }

    private void onGrant(SlotGrant grant) {
        int slash = grant.getPool().indexOf('/');
        String zone = grant.getPool().substring(0, Math.max(0, slash));
        String service = grant.getPool().substring(slash + 1);
        run(service, () -> {
            Optional<String> hint = grant.getNotOwner() ? Optional.of(grant.getOwner()) : Optional.empty();
            ownerResolver.responseReceived(grant.getPool(), hint);
            ServiceSlots slots = slotsByService.get(service);
            return slots == null ? List.of() : slots.onGrant(zone, grant, time.monotonicMillis());
        });
    }

    private List<Runnable> sendGrants(String service, Map<String, SlotGrant> grants) {
        List<Runnable> effects = new ArrayList<>();
        grants.forEach((holder, grant) -> {
            SlotGrant.Builder withAddresses = grant.toBuilder();
            grant.getGrantedList().forEach(count -> upstreams
                    .directory()
                    .find(service, count.getEndpoint())
                    .ifPresent(upstream -> withAddresses.addAddresses(SlotAddress.newBuilder()
                            .setEndpoint(upstream.endpoint())
                            .setAddress(upstream.address()))));
            effects.add(() -> peers.send(holder, Frame.newBuilder().setSlotGrant(withAddresses)));
        });
        metrics.meter("slots.grants.sent").mark(grants.size());
        return effects;
    }

    private void run(String service, Supplier<List<SlotAction>> step) {
        List<Runnable> effects;
        synchronized (this) {
            effects = effectsOf(service, step.get());
        }
        effects.forEach(Runnable::run);
    }

    private List<Runnable> effectsOf(String service, List<SlotAction> actions) {
        List<Runnable> effects = new ArrayList<>();
        for (SlotAction action : actions) {
            if (action instanceof SlotAction.Dispatch dispatch) {
                PendingRequest request = pending.remove(dispatch.requestId());
                links.onSent(regionOf(dispatch.zone()), time.monotonicMillis());
                Lease lease = new Lease(service, dispatch.zone(), upstreamOf(service, dispatch), new AtomicBoolean());
                effects.add(() -> request.answer().complete(Either.right(lease)));
            } else if (action instanceof SlotAction.Refuse refuse) {
                PendingRequest request = pending.remove(refuse.requestId());
                Refusal refusal =
                        Refusal.notRun(refuse.reason(), service).withRetryAfterSeconds(retryAfterSeconds(refuse));
                effects.add(() -> request.answer().complete(Either.left(refusal)));
            } else if (action instanceof SlotAction.RequestSlots ask) {
                effects.addAll(requestSlots(service, ask));
            }
        }
        return effects;
    }

    private static long retryAfterSeconds(SlotAction.Refuse refuse) {
        return refuse.pauseMillis().isEmpty()
                ? RETRY_AFTER_SECONDS
                : TimeUnit.MILLISECONDS.toSeconds(999
                        + RetryAfter.afterPauseMillis(
                                refuse.pauseMillis().getAsLong(), Long.toString(refuse.requestId())));
    }

    private List<Runnable> requestSlots(String service, SlotAction.RequestSlots ask) {
        String pool = ServiceSlots.poolName(ask.zone(), service);
        long now = time.monotonicMillis();
        Optional<String> target = ownerResolver.current(ask.zone(), pool, now);
        if (target.isEmpty()) {
            return List.of();
        }
        ownerResolver.requestSent(pool, now);
        metrics.meter("slots.requests.sent").mark();
        return List.of(() -> peers.send(target.get(), Frame.newBuilder().setSlotRequest(ask.request())));
    }

    private Upstream upstreamOf(String service, SlotAction.Dispatch dispatch) {
        Optional<Upstream> known = upstreams.directory().find(service, dispatch.endpoint());
        if (known.isPresent() && dispatch.zone().equals(settings.zone())) {
            return known.get();
        }
        String address = slotsByService
                .get(service)
                .holder(dispatch.zone())
                .flatMap(holder -> holder.addressOf(dispatch.endpoint()))
                .orElse("0.0.0.0:0");
        return new Upstream(service, dispatch.endpoint(), dispatch.zone(), address, 1, 0, 0, false, 0, 0);
    }

    private ServiceSlots slotsOf(String service) {
        return slotsByService.computeIfAbsent(service, name -> {
            ServiceSlots slots =
                    new ServiceSlots(name, pools(), this::mayUseZone, incarnation, SteeringTimings.DEFAULT);
            slots.setStarts(endpoint -> startEpochMillis(name, endpoint));
            slots.setEndpointOrder(Comparator.comparingDouble(endpoint -> reportedLoad(name, endpoint)));
            return slots;
        });
    }

    /** Applies the zones of the current configuration to the slot pools of all services. */
    public synchronized void configure() {
        slotsByService.values().forEach(slots -> slots.setPools(pools()));
    }

    private List<PoolReference> pools() {
        Configuration current = configuration.get().configuration();
        return SteeringPlan.pools(
                settings.zone(),
                current.zones().stream().map(AvailabilityZone::name).toList(),
                zone -> current.regionOf(zone).orElse(""));
    }

    private double reportedLoad(String service, String endpoint) {
        return upstreams
                .directory()
                .find(service, endpoint)
                .map(Upstream::reportedLoad)
                .orElse(1.0);
    }

    /** Returns the start of an endpoint that takes requests; 0 if it is unknown or has announced that it leaves. */
    private long startEpochMillis(String service, String endpoint) {
        return upstreams
                .directory()
                .find(service, endpoint)
                .filter(upstream -> !upstream.leaving())
                .map(Upstream::startedAtEpochMillis)
                .orElse(0L);
    }

    private Map<String, Integer> limitsOf(String service) {
        long now = time.epochMillis();
        return EndpointLimits.of(
                upstreams.directory().available(service, settings.zone(), now),
                configuration.get().configuration(),
                settings.zone(),
                now);
    }

    private List<String> instancesOf(String zone) {
        return settings.instances().stream()
                .filter(instance -> instance.zone().equals(zone))
                .map(Instance::name)
                .toList();
    }

    private synchronized <T> T locked(Supplier<T> read) {
        return read.get();
    }

    private void release(Lease lease, AttemptOutcome outcome, long bytes) {
        SlotOutcome slotOutcome = toSlotOutcome(outcome);
        run(lease.service, () -> {
            long now = time.monotonicMillis();
            links.onFinished(regionOf(lease.zone), bytes, now);
            return slotsByService.get(lease.service).release(lease.zone, lease.upstream.endpoint(), slotOutcome, now);
        });
    }

    private synchronized boolean isHeld(Lease lease) {
        return slotsByService.get(lease.service).isHeld(lease.zone, lease.upstream.endpoint(), time.monotonicMillis());
    }

    private void onLeaving(Lease lease) {
        boolean isNew = locked(() -> slotsByService
                .get(lease.service)
                .onLeaving(lease.zone, lease.upstream.endpoint(), time.epochMillis(), time.monotonicMillis()));
        if (isNew) {
            recordHold(lease, "leaving");
        }
    }

    private void onPause(Lease lease, long pauseMillis) {
        boolean isNew = locked(() -> slotsByService
                .get(lease.service)
                .onPause(
                        lease.zone,
                        lease.upstream.endpoint(),
                        pauseMillis,
                        time.epochMillis(),
                        time.monotonicMillis()));
        if (isNew) {
            recordHold(lease, "pause");
        }
    }

    private void recordHold(Lease lease, String reason) {
        metrics.counter("gateway.holds." + reason).inc();
        OptionalLong endMillis = locked(() -> slotsByService
                .get(lease.service)
                .pauseMillis(lease.zone, lease.upstream.endpoint(), time.monotonicMillis()));
        Decision decision = Decision.of(DecisionKind.ENDPOINT_JUDGED)
                .with(DecisionField.ENDPOINT, lease.upstream.endpoint())
                .with(DecisionField.SERVICE, lease.service)
                .with(DecisionField.ZONE, lease.zone)
                .with(DecisionField.REASON, reason);
        decisions.record(
                endMillis.isPresent()
                        ? decision.with(DecisionField.SUSPENDED_MILLIS, endMillis.getAsLong())
                        : decision);
    }

    private String regionOf(String zone) {
        return configuration.get().configuration().regionOf(zone).orElse("");
    }

    /**
     * Whether this instance's share of the link to a zone's region has spare capacity; zones of the own region are
     * always permitted.
     */
    private boolean mayUseZone(String zone) {
        String region = regionOf(zone);
        if (region.equals(settings.region())) {
            return true;
        }
        Configuration current = configuration.get().configuration();
        long share =
                LinkShares.bytesPerSecond(current, settings.region(), region, instancesOfRegion(settings.region()));
        return links.hasRoom(region, share, time.monotonicMillis());
    }

    private int instancesOfRegion(String region) {
        return (int) settings.instances().stream()
                .filter(instance -> instance.region().equals(region))
                .count();
    }

    private static SlotOutcome toSlotOutcome(AttemptOutcome outcome) {
        return switch (outcome) {
            case ANSWERED -> SlotOutcome.SUCCESS;
            case CONNECT_FAILED, FAILED, SHED -> SlotOutcome.FAILURE;
            default -> SlotOutcome.NEUTRAL;
        };
    }

    /** Lease of one slot; only the first release takes effect. */
    private final class Lease implements SlotLease {
        private final String service;
        private final String zone;
        private final Upstream upstream;
        private final AtomicBoolean released;

        private Lease(String service, String zone, Upstream upstream, AtomicBoolean released) {
            this.service = service;
            this.zone = zone;
            this.upstream = upstream;
            this.released = released;
        }

        @Override
        public Upstream upstream() {
            return upstream;
        }

        @Override
        public void endpointLeaves() {
            onLeaving(this);
        }

        @Override
        public void endpointPauses(long pauseMillis) {
            onPause(this, pauseMillis);
        }

        @Override
        public boolean isHeld() {
            return SlotService.this.isHeld(this);
        }

        @Override
        public void release(AttemptOutcome outcome, long bytes) {
            if (released.compareAndSet(false, true)) {
                SlotService.this.release(this, outcome, bytes);
            }
        }
    }
}
