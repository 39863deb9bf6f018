package org.bulrushwheel.logic.steering;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.bulrushwheel.logic.budget.SlotPoolHolder;
import org.bulrushwheel.model.proto.SlotGrant;
import org.bulrushwheel.model.refusal.RefusalReason;

/**
 * Requests of one service at one instance that wait for slots, and the slots it holds in the pools of each zone. The
 * own zone goes first; another zone is asked only for requests that have waited, and used only within its link.
 *
 * <p>Invariants: a request is dispatched or refused exactly once for each submission; it is dispatched only on a slot
 * that this instance holds. Not thread safe.
 */
public final class ServiceSlots {
    private static final int RELEASES_PER_RETURN = 4;

    private record Waiting(long requestId, Set<String> excluded, long submittedMillis, long deadlineMillis) {}

    private final String service;
    private final long firstEpoch;
    private final SteeringTimings timings;
    private final Predicate<String> mayUseZone;
    private final Map<String, ZoneSlots> zones = new LinkedHashMap<>();
    private final Deque<Waiting> queue = new ArrayDeque<>();
    private Comparator<String> order = Comparator.naturalOrder();
    private long settledSinceMillis = Long.MAX_VALUE;

    /**
     * A queue without requests.
     *
     * @param service name of the service
     * @param pools pools in the order in which they are used, the own zone first
     * @param mayUseZone whether the link to a zone has room
     * @param firstEpoch above every epoch of an earlier process of this instance
     * @param timings times
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

    /** Sets the pools, the own zone first; what is held of pools that stay is kept. */
    public void setPools(List<PoolReference> pools) {
        Map<String, ZoneSlots> before = new LinkedHashMap<>(zones);
        zones.clear();
        for (PoolReference pool : pools) {
            ZoneSlots known = before.remove(pool.zone());
            zones.put(
                    pool.zone(),
                    known != null
                            ? known
                            : new ZoneSlots(pool, new SlotPoolHolder(poolName(pool.zone(), service), firstEpoch)));
        }
        // Requests may still be running in zones that are gone; their slots come back here.
        before.forEach(zones::put);
    }

    /** Returns the name of a service's pool in a zone. */
    public static String poolName(String zone, String service) {
        return zone + "/" + service;
    }

    /** Sets which of several idle endpoints is used first. */
    public void setOrder(Comparator<String> newOrder) {
        order = newOrder;
    }

    /** Takes a request that needs a slot; endpoints that it failed on are excluded. */
    public List<SlotAction> submit(long requestId, Set<String> excluded, long deadlineMillis, long nowMillis) {
        queue.add(new Waiting(requestId, Set.copyOf(excluded), nowMillis, deadlineMillis));
        List<SlotAction> actions = new ArrayList<>();
        serve(actions, nowMillis);
        return actions;
    }

    /** Takes a message of a pool's owner. */
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
            slots.asked(0);
        }
        serve(actions, nowMillis);
        returnWhatIsRecalled(slots, actions, nowMillis);
        return actions;
    }

    /** Takes a slot back after use. */
    public List<SlotAction> release(String zone, String endpoint, SlotOutcome outcome, long nowMillis) {
        List<SlotAction> actions = new ArrayList<>();
        ZoneSlots slots = zones.get(zone);
        slots.holder().release(endpoint);
        note(slots, endpoint, outcome, nowMillis);
        if (slots.holder().isRecalled() && !queue.isEmpty() && slots.returnsThisRelease(RELEASES_PER_RETURN)) {
            ask(slots, queue.size(), actions, nowMillis);
        }
        serve(actions, nowMillis);
        returnWhatIsRecalled(slots, actions, nowMillis);
        return actions;
    }

    /** Moves time on: refuses what has waited too long, asks further zones, renews sessions. */
    public List<SlotAction> tick(long nowMillis) {
        List<SlotAction> actions = new ArrayList<>();
        refuseOverdue(actions, nowMillis);
        serve(actions, nowMillis);
        for (ZoneSlots slots : zones.values()) {
            boolean active = slots.holder().holdsAny(nowMillis) || slots.asked() > 0;
            if (active && slots.renewalDue(nowMillis, timings.renewMillis())) {
                ask(slots, wantedOf(slots, nowMillis), actions, nowMillis);
                slots.startPeriod();
            }
        }
        return actions;
    }

    /** Gives up the session with a zone's owner, as another instance owns the pool now. */
    public List<SlotAction> ownerChanged(String zone, long nowMillis) {
        List<SlotAction> actions = new ArrayList<>();
        Optional.ofNullable(zones.get(zone)).ifPresent(slots -> {
            slots.holder().startOver();
            slots.asked(0);
            serve(actions, nowMillis);
        });
        return actions;
    }

    /** Returns the holder of a zone's slots. */
    public Optional<SlotPoolHolder> holder(String zone) {
        return Optional.ofNullable(zones.get(zone)).map(ZoneSlots::holder);
    }

    /** Returns the number of waiting requests. */
    public int waiting() {
        return queue.size();
    }

    private void serve(List<SlotAction> actions, long nowMillis) {
        if (queue.isEmpty()) {
            return;
        }
        dispatchWaiting(actions, nowMillis);
        if (!queue.isEmpty()) {
            refuseWithoutUpstream(actions);
            zones.values().forEach(slots -> askForMore(slots, actions, nowMillis));
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
        for (Iterator<Waiting> each = queue.iterator(); each.hasNext(); ) {
            Waiting request = each.next();
            Optional<SlotAction> dispatch = dispatch(request, usable, nowMillis);
            if (dispatch.isPresent()) {
                each.remove();
                actions.add(dispatch.get());
            } else if (request.excluded().isEmpty()) {
                return;
            }
        }
    }

    private Optional<SlotAction> dispatch(Waiting request, List<ZoneSlots> usable, long nowMillis) {
        for (ZoneSlots slots : usable) {
            Set<String> excluded = new HashSet<>(slots.outliers().ejected(nowMillis));
            excluded.addAll(request.excluded());
            Optional<String> endpoint = slots.holder().tryAcquire(excluded, order, nowMillis);
            if (endpoint.isPresent()) {
                slots.noteInUse();
                return Optional.of(new SlotAction.Dispatch(
                        request.requestId(), slots.reference().zone(), endpoint.get()));
            }
        }
        return Optional.empty();
    }

    private void askForMore(ZoneSlots slots, List<SlotAction> actions, long nowMillis) {
        int wanted = wantedOf(slots, nowMillis);
        if (wanted > slots.asked()) {
            ask(slots, wanted, actions, nowMillis);
        }
    }

    /** Requests that have waited long enough for this zone to be asked. */
    private int wantedOf(ZoneSlots slots, long nowMillis) {
        String zone = slots.reference().zone();
        boolean ownZoneEmpty = ownZone().holder().capacity().orElse(1) == 0;
        long askAfterMillis = ownZoneEmpty ? 0 : slots.reference().askAfterMillis();
        if (queue.isEmpty() || !mayUseZone.test(zone)) {
            return 0;
        }
        return (int) queue.stream()
                .filter(request -> nowMillis - request.submittedMillis() >= askAfterMillis)
                .count();
    }

    private void ask(ZoneSlots slots, int wanted, List<SlotAction> actions, long nowMillis) {
        slots.asked(wanted);
        actions.add(new SlotAction.Ask(
                slots.reference().zone(),
                slots.holder().request(wanted, slots.reserve(), slots.outliers().ejected(nowMillis), nowMillis)));
    }

    private void returnWhatIsRecalled(ZoneSlots slots, List<SlotAction> actions, long nowMillis) {
        if (slots.holder().isRecalled() && slots.holder().idle(nowMillis) > 0) {
            ask(slots, wantedOf(slots, nowMillis), actions, nowMillis);
        }
    }

    private void refuseOverdue(List<SlotAction> actions, long nowMillis) {
        boolean settled = isSettled(nowMillis);
        if (!settled) {
            settledSinceMillis = Long.MAX_VALUE;
        } else if (settledSinceMillis == Long.MAX_VALUE) {
            settledSinceMillis = nowMillis;
        }
        for (Iterator<Waiting> each = queue.iterator(); each.hasNext(); ) {
            Waiting request = each.next();
            if (nowMillis >= request.deadlineMillis()) {
                each.remove();
                actions.add(new SlotAction.Refuse(request.requestId(), RefusalReason.DEADLINE_EXCEEDED));
            } else if (hasWaitedTooLong(request, settled, nowMillis)) {
                each.remove();
                RefusalReason reason = settled ? RefusalReason.CAPACITY_EXHAUSTED : RefusalReason.NO_UPSTREAM;
                actions.add(new SlotAction.Refuse(request.requestId(), reason));
            }
        }
    }

    /** Whether an owner that has slots has answered: the own zone's, or any other when the own zone has none. */
    private boolean isSettled(long nowMillis) {
        SlotPoolHolder own = ownZone().holder();
        if (own.capacity().orElse(1) > 0) {
            return own.isOpen(nowMillis);
        }
        return zones.values().stream()
                .map(ZoneSlots::holder)
                .anyMatch(
                        holder -> holder.isOpen(nowMillis) && holder.capacity().orElse(0) > 0);
    }

    private boolean hasWaitedTooLong(Waiting request, boolean settled, long nowMillis) {
        if (!settled) {
            return nowMillis - request.submittedMillis() >= timings.ownerWaitMillis();
        }
        return nowMillis - Math.max(request.submittedMillis(), settledSinceMillis) >= timings.maxWaitMillis();
    }

    /** Every zone has said that it has no endpoint: nothing is worth waiting for. */
    private void refuseWithoutUpstream(List<SlotAction> actions) {
        boolean none = zones.values().stream()
                .allMatch(slots -> slots.holder().capacity().orElse(1) == 0);
        if (none) {
            queue.forEach(
                    request -> actions.add(new SlotAction.Refuse(request.requestId(), RefusalReason.NO_UPSTREAM)));
            queue.clear();
        }
    }

    private ZoneSlots ownZone() {
        return zones.values().iterator().next();
    }

    private static void note(ZoneSlots slots, String endpoint, SlotOutcome outcome, long nowMillis) {
        if (outcome == SlotOutcome.SUCCESS) {
            slots.outliers().onSuccess(endpoint);
        } else if (outcome == SlotOutcome.FAILURE) {
            slots.outliers().onFailure(endpoint, nowMillis);
        }
    }
}
