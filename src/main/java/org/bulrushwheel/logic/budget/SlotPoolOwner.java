package org.bulrushwheel.logic.budget;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.bulrushwheel.model.proto.SlotGrant;
import org.bulrushwheel.model.proto.SlotRequest;

/**
 * Owner of a slot pool: grants the slots of one service's endpoints in one zone to holders.
 *
 * <p>Invariant: at any time and for every endpoint, the slots in sessions whose deadline has not passed are at most the
 * endpoint's limit. Slots that holders carry over from expired sessions and limits that were lowered can exceed it; no
 * slots of the endpoint are granted while they do. Not thread safe.
 */
public final class SlotPoolOwner {
    private static final long RESERVE_DIVISOR = 10;

    private final String pool;
    private final GrantTimings timings;
    private final Map<String, Integer> limits = new HashMap<>();
    private final Map<String, SlotSession> sessions = new LinkedHashMap<>();
    private final Map<String, Long> lastEpochs = new HashMap<>();
    private final Map<String, Integer> freeByEndpoint = new HashMap<>();
    private long freeSlots;
    private String lastServed = "";

    /** Creates an owner without sessions. */
    public SlotPoolOwner(String pool, GrantTimings timings) {
        this.pool = pool;
        this.timings = timings;
    }

    /** Sets the number of slots that may be granted of each endpoint; other endpoints receive no new requests. */
    public void setLimits(Map<String, Integer> newLimits) {
        limits.clear();
        limits.putAll(newLimits);
    }

    /**
     * Processes a holder's request.
     *
     * @param holder name of the instance that holds the slots
     * @param remote whether the holder is in another zone
     * @param request slot request of the holder
     * @param nowMillis monotonic time
     * @return grants to send, by holder: to the requesting holder and to others whose grants have changed
     */
    public Map<String, SlotGrant> onRequest(String holder, boolean remote, SlotRequest request, long nowMillis) {
        expire(nowMillis);
        Optional<SlotSession> session = sessionOf(holder, remote, request);
        if (session.isEmpty()) {
            return Map.of(holder, lapsed(request));
        }
        if (!session.get().update(request, deadline(remote, nowMillis))) {
            return Map.of();
        }
        Map<String, SlotGrant> grants = allocate();
        grants.computeIfAbsent(holder, name -> grantTo(session.get()));
        return grants;
    }

    /** Drops expired sessions and grants their slots to waiting holders; to be called regularly. */
    public Map<String, SlotGrant> tick(long nowMillis) {
        expire(nowMillis);
        return allocate();
    }

    /** Returns the number of granted slots of an endpoint. */
    public long outstanding(String endpoint) {
        return sessions.values().stream()
                .mapToLong(session -> session.outstanding(endpoint))
                .sum();
    }

    /** Returns the number of slots that could be granted now. */
    public long free() {
        countFree();
        return freeSlots;
    }

    /** Returns the sum of the limits. */
    public long capacity() {
        return limits.values().stream().mapToLong(Integer::longValue).sum();
    }

    /** Returns the endpoints whose slots may be granted. */
    public Set<String> endpoints() {
        return Set.copyOf(limits.keySet());
    }

    private Optional<SlotSession> sessionOf(String holder, boolean remote, SlotRequest request) {
        SlotSession session = sessions.get(holder);
        if (session != null && session.epoch() == request.getEpoch()) {
            return Optional.of(session);
        }
        if (!request.getOpening() || request.getEpoch() <= lastEpochs.getOrDefault(holder, -1L)) {
            return Optional.empty();
        }
        SlotSession opened = new SlotSession(request.getEpoch(), remote);
        lastEpochs.put(holder, request.getEpoch());
        sessions.put(holder, opened);
        return Optional.of(opened);
    }

    private SlotGrant lapsed(SlotRequest request) {
        return SlotGrant.newBuilder()
                .setPool(pool)
                .setEpoch(request.getEpoch())
                .setLapsed(true)
                .build();
    }

    private long deadline(boolean remote, long nowMillis) {
        return nowMillis + timings.validMillis() + timings.marginMillis() + (remote ? timings.remoteGraceMillis() : 0);
    }

    private void expire(long nowMillis) {
        sessions.values().removeIf(session -> session.deadlineMillis() <= nowMillis);
    }

    private void countFree() {
        freeByEndpoint.clear();
        freeByEndpoint.putAll(limits);
        for (SlotSession session : sessions.values()) {
            for (String endpoint : session.endpoints()) {
                freeByEndpoint.computeIfPresent(endpoint, (name, free) -> free - (int) session.outstanding(endpoint));
            }
        }
        freeSlots = freeByEndpoint.values().stream()
                .mapToLong(free -> Math.max(0, free))
                .sum();
    }

    /** Grants free slots in turn, first to holders in the zone, then those beyond the reserve to remote holders. */
    private Map<String, SlotGrant> allocate() {
        countFree();
        Map<String, SlotGrant> grants = new HashMap<>();
        grantInTurn(false, grants);
        if (!hasLocalDemand()) {
            grantInTurn(true, grants);
        }
        sessions.forEach((holder, session) -> {
            boolean recallDue = hasLocalDemand() && !session.isRecallSent() && session.holdsAny();
            if (recallDue || !session.isWithdrawnSent(withdrawnOf(session))) {
                grants.put(holder, grantTo(session));
            }
        });
        return grants;
    }

    private void grantInTurn(boolean remote, Map<String, SlotGrant> grants) {
        boolean granted = true;
        while (granted && freeSlots > (remote ? reservedSlots() : 0)) {
            granted = false;
            for (Map.Entry<String, SlotSession> entry : roundRobinOrder(remote)) {
                Optional<String> endpoint = endpointWithLargestFreeShare(entry.getValue());
                if (endpoint.isPresent() && freeSlots > (remote ? reservedSlots() : 0)) {
                    grant(entry.getValue(), endpoint.get());
                    lastServed = entry.getKey();
                    grants.put(entry.getKey(), grantTo(entry.getValue()));
                    granted = true;
                }
            }
        }
    }

    private void grant(SlotSession session, String endpoint) {
        session.grant(endpoint);
        freeByEndpoint.merge(endpoint, -1, Integer::sum);
        freeSlots--;
    }

    /** Returns the holders that want slots in round-robin order, beginning after the one that was served last. */
    private List<Map.Entry<String, SlotSession>> roundRobinOrder(boolean remote) {
        List<Map.Entry<String, SlotSession>> afterLastServed = new ArrayList<>();
        List<Map.Entry<String, SlotSession>> upToLastServed = new ArrayList<>();
        boolean lastServedSeen = false;
        for (Map.Entry<String, SlotSession> entry : sessions.entrySet()) {
            if (entry.getValue().wanted() > 0 && entry.getValue().isRemote() == remote) {
                (lastServedSeen ? afterLastServed : upToLastServed).add(entry);
            }
            lastServedSeen = lastServedSeen || entry.getKey().equals(lastServed);
        }
        afterLastServed.addAll(upToLastServed);
        return afterLastServed;
    }

    /** Returns the endpoints whose slots the holder has and that are to receive no new requests. */
    private Set<String> withdrawnOf(SlotSession session) {
        return session.endpoints().stream()
                .filter(endpoint -> limits.getOrDefault(endpoint, 0) == 0)
                .collect(Collectors.toSet());
    }

    /** Returns the number of free slots that are reserved for holders in the zone. */
    private long reservedSlots() {
        return Math.max(1, capacity() / RESERVE_DIVISOR);
    }

    private boolean hasLocalDemand() {
        return sessions.values().stream().anyMatch(session -> !session.isRemote() && session.wanted() > 0);
    }

    private Optional<String> endpointWithLargestFreeShare(SlotSession session) {
        return freeByEndpoint.entrySet().stream()
                .filter(entry -> entry.getValue() > 0 && !session.avoids(entry.getKey()))
                .max(Comparator.comparingDouble((Map.Entry<String, Integer> entry) -> freeShare(entry))
                        .thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey);
    }

    /** Returns the sum of the limits of the endpoints that the holder doesn't avoid. */
    private long capacityFor(SlotSession session) {
        return limits.entrySet().stream()
                .filter(entry -> !session.avoids(entry.getKey()))
                .mapToLong(Map.Entry::getValue)
                .sum();
    }

    private double freeShare(Map.Entry<String, Integer> entry) {
        return entry.getValue() / (double) limits.get(entry.getKey());
    }

    private SlotGrant grantTo(SlotSession session) {
        boolean recall = hasLocalDemand();
        Set<String> withdrawn = withdrawnOf(session);
        session.recordSent(recall, withdrawn);
        return session.toGrant(pool)
                .setValidForMillis(timings.validMillis())
                .setRecall(recall)
                .setCapacity(capacityFor(session))
                .addAllWithdrawn(withdrawn)
                .build();
    }
}
