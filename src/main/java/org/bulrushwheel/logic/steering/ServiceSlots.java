package org.bulrushwheel.logic.steering;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

import org.bulrushwheel.logic.budget.SlotPoolHolder;
import org.bulrushwheel.model.proto.SlotGrant;
import org.bulrushwheel.model.refusal.RefusalReason;

/**
 * The queue of one service's requests at one instance, and the slots that the instance holds in the pools of each
 * zone. The instance's own zone is preferred; slots of another zone are requested only for requests that have waited,
 * and used only within the capacity of the link to it.
 *
 * <p>Invariants: a request is dispatched or refused exactly once for each submission; it is dispatched only on a slot
 * that this instance holds. Not thread safe.
 */
public final class ServiceSlots {
    private static final int RELEASES_PER_RETURN = 4;

    private record PendingRequest(long requestId, Set<String> excluded, long waitingSinceMillis, long deadlineMillis) {}

    private final String service;
    private final long firstEpoch;
    private final SteeringTimings timings;
    private final Predicate<String> mayUseZone;
    private final Map<String, ZoneSlots> zones = new LinkedHashMap<>();
    private final Deque<PendingRequest> queue = new ArrayDeque<>();
    private Comparator<String> order = Comparator.naturalOrder();
    private long sessionOpenSinceMillis = Long.MAX_VALUE;

    /**
     * Creates an empty queue.
     *
     * @param service name of the service
     * @param pools pools in the order in which they are used, the instance's own zone first
     * @param mayUseZone whether the link to a zone has spare capacity
     * @param firstEpoch first epoch of the sessions; greater than every epoch of earlier processes of this instance
     * @param timings time limits and renewal interval
     */
    public ServiceSlots(
            String service,
            List<PoolReference> pools,
            Predicate<String> mayUseZone,
            long firstEpoch,
            SteeringTimings timings) {
        this.timings = timings;
        this.mayUseZone = mayUseZone;
        this.service = service;
        this.firstEpoch = firstEpoch;
        setPools(pools);
    }

    /** Sets the pools, the instance's own zone first; sessions with pools that remain are kept. */
    public void setPools(List<PoolReference> pools) {
        Map<String, ZoneSlots> previous = new LinkedHashMap<>(zones);
        zones.clear();
        for (PoolReference pool : pools) {
            ZoneSlots existing = previous.remove(pool.zone());
            zones.put(
                    pool.zone(),
                    existing != null
                            ? existing
                            : new ZoneSlots(
                                    pool,
                                    new SlotPoolHolder(poolName(pool.zone(), service), firstEpoch),
                                    zones.isEmpty()));
        }
        // Requests may still be in flight in removed zones; their slots are released here.
        previous.forEach(zones::put);
    }

    /** Returns the name of a service's pool in a zone. */
    public static String poolName(String zone, String service) {
        return zone + "/" + service;
    }

    /** Sets the order in which endpoints with idle slots are used. */
    public void setEndpointOrder(Comparator<String> newOrder) {
        order = newOrder;
    }

    /** Sets the source of the start of an endpoint of the own zone, in milliseconds since the epoch; 0 if unknown. */
    public void setStarts(ToLongFunction<String> startEpochMillis) {
        ownZone().held().setStarts(startEpochMillis);
    }

    /** Records an endpoint's own word that it leaves; returns whether that is new. */
    public boolean onLeaving(String zone, String endpoint, long nowEpochMillis, long nowMillis) {
        return zones.get(zone).held().onLeaving(endpoint, nowEpochMillis, nowMillis);
    }

    /** Records an endpoint's own word that it wants a pause; returns whether it was taking requests before. */
    public boolean onPause(String zone, String endpoint, long pauseMillis, long nowEpochMillis, long nowMillis) {
        return zones.get(zone).held().onPause(endpoint, pauseMillis, nowEpochMillis, nowMillis);
    }

    /** Whether an endpoint whose slot was acquired has asked for no more requests since, or its zone has withdrawn it. */
    public boolean isHeld(String zone, String endpoint, long nowMillis) {
        ZoneSlots slots = zones.get(zone);
        return slots.held().isHeld(endpoint, nowMillis) || slots.holder().isWithdrawn(endpoint);
    }

    /** Returns the time until the pause of an endpoint ends, in milliseconds; empty if it has none or leaves. */
    public OptionalLong pauseMillis(String zone, String endpoint, long nowMillis) {
        return zones.get(zone).held().pauseMillis(endpoint, nowMillis);
    }

    /** Queues a request that starts to wait now. */
    public List<SlotAction> submit(long requestId, Set<String> excluded, long deadlineMillis, long nowMillis) {
        return submit(requestId, excluded, nowMillis, deadlineMillis, nowMillis);
    }

    /**
     * Queues a request for a slot; excluded endpoints, on which the request has failed, are not used.
     *
     * @param waitingSinceMillis time from which its wait counts; before now if it is placed anew
     */
    public List<SlotAction> submit(
            long requestId, Set<String> excluded, long waitingSinceMillis, long deadlineMillis, long nowMillis) {
        queue.add(new PendingRequest(requestId, Set.copyOf(excluded), waitingSinceMillis, deadlineMillis));
        List<SlotAction> actions = new ArrayList<>();
        processQueue(actions, nowMillis);
        return actions;
    }

    /** Processes a grant from the owner of a zone's pool. */
    public List<SlotAction> onGrant(String zone, SlotGrant grant, long nowMillis) {
        List<SlotAction> actions = new ArrayList<>();
        ZoneSlots slots = zones.get(zone);
        if (slots == null) {
            return actions;
        }
        int idleBefore = slots.holder().idle(nowMillis);
        slots.holder().onGrant(grant, nowMillis);
        slots.onGranted(Math.max(0, slots.holder().idle(nowMillis) - idleBefore));
        if (grant.getLapsed() || grant.getNotOwner()) {
            slots.setRequested(0);
        }
        processQueue(actions, nowMillis);
        returnRecalledSlots(slots, actions, nowMillis);
        return actions;
    }

    /** Releases a slot after use and records the outcome for its endpoint. */
    public List<SlotAction> release(String zone, String endpoint, SlotOutcome outcome, long nowMillis) {
        List<SlotAction> actions = new ArrayList<>();
        ZoneSlots slots = zones.get(zone);
        slots.holder().release(endpoint);
        recordOutcome(slots, endpoint, outcome, nowMillis);
        if (slots.holder().isRecalled() && !queue.isEmpty() && slots.shouldReturnSlot(RELEASES_PER_RETURN)) {
            requestSlots(slots, queue.size(), actions, nowMillis);
        }
        processQueue(actions, nowMillis);
        returnRecalledSlots(slots, actions, nowMillis);
        return actions;
    }

    /** Refuses requests that have waited too long, requests slots of further zones and renews sessions. */
    public List<SlotAction> tick(long nowMillis) {
        List<SlotAction> actions = new ArrayList<>();
        refuseExpired(actions, nowMillis);
        processQueue(actions, nowMillis);
        for (ZoneSlots slots : zones.values()) {
            boolean active = slots.holder().holdsAny(nowMillis) || slots.requested() > 0;
            boolean renews = active && slots.renewalDue(nowMillis, timings.renewMillis());
            if (renews || (slots.holder().isOpen(nowMillis) && slots.fullChanged(nowMillis))) {
                requestSlots(slots, wantedSlots(slots, nowMillis), actions, nowMillis);
                if (renews) {
                    slots.startPeriod();
                }
            }
        }
        return actions;
    }

    /** Resets the session with a zone's pool after another instance has become its owner. */
    public List<SlotAction> onOwnerChanged(String zone, long nowMillis) {
        List<SlotAction> actions = new ArrayList<>();
        Optional.ofNullable(zones.get(zone)).ifPresent(slots -> {
            slots.holder().resetSession();
            slots.setRequested(0);
            processQueue(actions, nowMillis);
        });
        return actions;
    }

    /** Returns the holder of a zone's slots; empty if the zone is unknown. */
    public Optional<SlotPoolHolder> holder(String zone) {
        return Optional.ofNullable(zones.get(zone)).map(ZoneSlots::holder);
    }

    /** Returns the number of waiting requests. */
    public int waiting() {
        return queue.size();
    }

    private void processQueue(List<SlotAction> actions, long nowMillis) {
        if (queue.isEmpty()) {
            return;
        }
        dispatchWaiting(actions, nowMillis);
        if (!queue.isEmpty()) {
            // Asked for before requests are refused, so that an endpoint that has come back is found.
            zones.values().forEach(slots -> requestMissingSlots(slots, actions, nowMillis));
            refuseIfNoEndpoint(actions, nowMillis);
        }
    }

    private void dispatchWaiting(List<SlotAction> actions, long nowMillis) {
        List<ZoneSlots> usable = zones.values().stream()
                .filter(slots -> slots.holder().idle(nowMillis) > 0)
                .filter(slots -> mayUseZone.test(slots.reference().zone()))
                .toList();
        if (usable.isEmpty()) {
            return;
        }
        for (Iterator<PendingRequest> requests = queue.iterator(); requests.hasNext(); ) {
            PendingRequest request = requests.next();
            Optional<SlotAction> dispatch = dispatch(request, usable, nowMillis);
            if (dispatch.isPresent()) {
                requests.remove();
                actions.add(dispatch.get());
            } else if (request.excluded().isEmpty()) {
                return;
            }
        }
    }

    private Optional<SlotAction> dispatch(PendingRequest request, List<ZoneSlots> usable, long nowMillis) {
        for (ZoneSlots slots : usable) {
            Set<String> excluded = slots.avoided(nowMillis);
            excluded.addAll(request.excluded());
            Optional<String> endpoint = slots.holder().tryAcquire(excluded, order, nowMillis);
            if (endpoint.isPresent()) {
                slots.updatePeakInUse();
                return Optional.of(new SlotAction.Dispatch(
                        request.requestId(), slots.reference().zone(), endpoint.get()));
            }
        }
        return Optional.empty();
    }

    private void requestMissingSlots(ZoneSlots slots, List<SlotAction> actions, long nowMillis) {
        int wanted = wantedSlots(slots, nowMillis);
        if (wanted > slots.requested() || (wanted > 0 && slots.fullChanged(nowMillis))) {
            requestSlots(slots, wanted, actions, nowMillis);
        }
    }

    /** Returns the number of queued requests that have waited long enough for this zone's slots to be requested. */
    private int wantedSlots(ZoneSlots slots, long nowMillis) {
        String zone = slots.reference().zone();
        boolean ownZoneEmpty = ownZone().holder().capacity().orElse(1) == 0;
        long requestDelayMillis = ownZoneEmpty ? 0 : slots.reference().requestDelayMillis();
        if (queue.isEmpty() || !mayUseZone.test(zone)) {
            return 0;
        }
        return (int) queue.stream()
                .filter(request -> nowMillis - request.waitingSinceMillis() >= requestDelayMillis)
                .count();
    }

    private void requestSlots(ZoneSlots slots, int wanted, List<SlotAction> actions, long nowMillis) {
        slots.setRequested(wanted);
        slots.onFullSent(nowMillis);
        actions.add(new SlotAction.RequestSlots(
                slots.reference().zone(),
                slots.holder().request(wanted, slots.reserve(), slots.avoided(nowMillis), nowMillis)));
    }

    private void returnRecalledSlots(ZoneSlots slots, List<SlotAction> actions, long nowMillis) {
        if (slots.holder().isRecalled() && slots.holder().idle(nowMillis) > 0) {
            requestSlots(slots, wantedSlots(slots, nowMillis), actions, nowMillis);
        }
    }

    private void refuseExpired(List<SlotAction> actions, long nowMillis) {
        boolean sessionOpen = isSessionOpen(nowMillis);
        if (!sessionOpen) {
            sessionOpenSinceMillis = Long.MAX_VALUE;
        } else if (sessionOpenSinceMillis == Long.MAX_VALUE) {
            sessionOpenSinceMillis = nowMillis;
        }
        for (Iterator<PendingRequest> requests = queue.iterator(); requests.hasNext(); ) {
            PendingRequest request = requests.next();
            if (nowMillis >= request.deadlineMillis()) {
                requests.remove();
                actions.add(new SlotAction.Refuse(request.requestId(), RefusalReason.DEADLINE_EXCEEDED));
            } else if (hasWaitedTooLong(request, sessionOpen, nowMillis)) {
                requests.remove();
                actions.add(
                        sessionOpen
                                ? new SlotAction.Refuse(request.requestId(), RefusalReason.CAPACITY_EXHAUSTED)
                                : noUpstream(request, nowMillis));
            }
        }
    }

    /** Whether there is a session with a pool that has slots: the own zone's, or any other if that one has none. */
    private boolean isSessionOpen(long nowMillis) {
        SlotPoolHolder own = ownZone().holder();
        if (own.capacity().orElse(1) > 0) {
            return own.isOpen(nowMillis);
        }
        return zones.values().stream()
                .map(ZoneSlots::holder)
                .anyMatch(
                        holder -> holder.isOpen(nowMillis) && holder.capacity().orElse(0) > 0);
    }

    private boolean hasWaitedTooLong(PendingRequest request, boolean sessionOpen, long nowMillis) {
        if (!sessionOpen) {
            long waitMillis = isOwnZoneHeld(nowMillis) ? timings.maxWaitMillis() : timings.ownerWaitMillis();
            return nowMillis - request.waitingSinceMillis() >= waitMillis;
        }
        return nowMillis - Math.max(request.waitingSinceMillis(), sessionOpenSinceMillis) >= timings.maxWaitMillis();
    }

    /**
     * Refuses all queued requests if the owners of all zones report in the current sessions that they have no endpoint for
     * this instance, unless one gets its load back step by step.
     */
    private void refuseIfNoEndpoint(List<SlotAction> actions, long nowMillis) {
        if (!zones.values().stream().allMatch(slots -> hasNoEndpoint(slots, nowMillis))) {
            return;
        }
        queue.forEach(request -> actions.add(noUpstream(request, nowMillis)));
        queue.clear();
    }

    private SlotAction noUpstream(PendingRequest request, long nowMillis) {
        OptionalLong pauseMillis = zones.values().stream()
                .map(slots -> slots.held().firstPauseMillis(nowMillis))
                .flatMapToLong(OptionalLong::stream)
                .min();
        return new SlotAction.Refuse(request.requestId(), RefusalReason.NO_UPSTREAM, pauseMillis);
    }

    /** Whether the own zone has endpoints but all of them have asked for no more requests. */
    private boolean isOwnZoneHeld(long nowMillis) {
        return hasNoEndpoint(ownZone(), nowMillis) && ownZone().held().anyHeld(nowMillis);
    }

    private static boolean hasNoEndpoint(ZoneSlots slots, long nowMillis) {
        return slots.holder().isOpen(nowMillis)
                && slots.holder().capacity().orElse(1) == 0
                && !slots.awaitsGrant()
                && !slots.held().anyReturns(nowMillis);
    }

    private ZoneSlots ownZone() {
        return zones.values().iterator().next();
    }

    private static void recordOutcome(ZoneSlots slots, String endpoint, SlotOutcome outcome, long nowMillis) {
        if (outcome == SlotOutcome.SUCCESS) {
            slots.outliers().onSuccess(endpoint);
        } else if (outcome == SlotOutcome.FAILURE) {
            slots.outliers().onFailure(endpoint, nowMillis);
        }
    }
}
