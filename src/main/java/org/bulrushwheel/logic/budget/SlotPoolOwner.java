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
 * Owner of the slots of one service's endpoints in one zone.
 *
 * <p>Invariant: at every moment and for every endpoint, the slots in sessions whose deadline has not passed are at most
 * the endpoint's limit, but for what holders carry over from sessions that lapsed and for limits that were lowered;
 * neither is ever added to. Not thread safe.
 */
public final class SlotPoolOwner {
    private static final long SPARE_KEPT_DIVISOR = 10;

    private final String pool;
    private final GrantTimings timings;
    private final Map<String, Integer> limits = new HashMap<>();
    private final Map<String, SlotSession> sessions = new LinkedHashMap<>();
    private final Map<String, Long> lastEpochs = new HashMap<>();
    private final Map<String, Integer> freeByEndpoint = new HashMap<>();
    private long freeSlots;
    private String lastServed = "";

    /** An owner that has granted nothing. */
    public SlotPoolOwner(String pool, GrantTimings timings) {
        this.pool = pool;
        this.timings = timings;
    }

    /** Sets how many slots of each endpoint may be granted; endpoints that are not named get no new work. */
    public void setLimits(Map<String, Integer> newLimits) {
        limits.clear();
        limits.putAll(newLimits);
    }

    /**
     * Takes a holder's request.
     *
     * @param holder name of the holder's instance
     * @param remote whether the holder is in another zone
     * @param request the request
     * @param nowMillis monotonic time
     * @return the grants to send, by holder: the asking one and others whose turn came
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

    /** Drops sessions whose deadline has passed and serves those who wait; to be called regularly. */
    public Map<String, SlotGrant> tick(long nowMillis) {
        expire(nowMillis);
        return allocate();
    }

    /** Returns the slots of an endpoint that are granted. */
    public long outstanding(String endpoint) {
        return sessions.values().stream()
                .mapToLong(session -> session.outstanding(endpoint))
                .sum();
    }

    /** Returns the slots that could be granted now. */
    public long free() {
        countFree();
        return freeSlots;
    }

    /** Returns the sum of the limits. */
    public long capacity() {
        return limits.values().stream().mapToLong(Integer::longValue).sum();
    }

    /** Returns the endpoints that may get work. */
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
        return nowMillis + timings.validMillis() + timings.marginMillis() + (remote ? timings.remoteHoldMillis() : 0);
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

    /** Gives free slots in turn, first to holders of the zone, and what is spare to others. */
    private Map<String, SlotGrant> allocate() {
        countFree();
        Map<String, SlotGrant> grants = new HashMap<>();
        serve(false, grants);
        if (!anyoneWaits()) {
            serve(true, grants);
        }
        sessions.forEach((holder, session) -> {
            boolean recalls = anyoneWaits() && !session.isRecallSent() && session.holdsAny();
            if (recalls || !session.isWithdrawnSent(withdrawnOf(session))) {
                grants.put(holder, grantTo(session));
            }
        });
        return grants;
    }

    private void serve(boolean remote, Map<String, SlotGrant> grants) {
        boolean served = true;
        while (served && freeSlots > (remote ? spareKept() : 0)) {
            served = false;
            for (Map.Entry<String, SlotSession> entry : inTurn(remote)) {
                Optional<String> endpoint = freestEndpoint(entry.getValue());
                if (endpoint.isPresent() && freeSlots > (remote ? spareKept() : 0)) {
                    grant(entry.getValue(), endpoint.get());
                    lastServed = entry.getKey();
                    grants.put(entry.getKey(), grantTo(entry.getValue()));
                    served = true;
                }
            }
        }
    }

    private void grant(SlotSession session, String endpoint) {
        session.grant(endpoint);
        freeByEndpoint.merge(endpoint, -1, Integer::sum);
        freeSlots--;
    }

    /** Those who wait, beginning behind the one that was served last. */
    private List<Map.Entry<String, SlotSession>> inTurn(boolean remote) {
        List<Map.Entry<String, SlotSession>> behind = new ArrayList<>();
        List<Map.Entry<String, SlotSession>> before = new ArrayList<>();
        boolean passed = false;
        for (Map.Entry<String, SlotSession> entry : sessions.entrySet()) {
            if (entry.getValue().wanted() > 0 && entry.getValue().isRemote() == remote) {
                (passed ? behind : before).add(entry);
            }
            passed = passed || entry.getKey().equals(lastServed);
        }
        behind.addAll(before);
        return behind;
    }

    /** Endpoints of which the holder has slots and that get no new work. */
    private Set<String> withdrawnOf(SlotSession session) {
        return session.endpoints().stream()
                .filter(endpoint -> limits.getOrDefault(endpoint, 0) == 0)
                .collect(Collectors.toSet());
    }

    /** Slots that are kept for the zone itself. */
    private long spareKept() {
        return Math.max(1, capacity() / SPARE_KEPT_DIVISOR);
    }

    private boolean anyoneWaits() {
        return sessions.values().stream().anyMatch(session -> !session.isRemote() && session.wanted() > 0);
    }

    private Optional<String> freestEndpoint(SlotSession session) {
        return freeByEndpoint.entrySet().stream()
                .filter(entry -> entry.getValue() > 0 && !session.avoids(entry.getKey()))
                .max(Comparator.comparingDouble((Map.Entry<String, Integer> entry) -> freeShare(entry))
                        .thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey);
    }

    private double freeShare(Map.Entry<String, Integer> entry) {
        return entry.getValue() / (double) limits.get(entry.getKey());
    }

    private SlotGrant grantTo(SlotSession session) {
        boolean recall = anyoneWaits();
        Set<String> withdrawn = withdrawnOf(session);
        session.sent(recall, withdrawn);
        return session.toGrant(pool)
                .setValidForMillis(timings.validMillis())
                .setRecall(recall)
                .setCapacity(capacity())
                .addAllWithdrawn(withdrawn)
                .build();
    }
}
