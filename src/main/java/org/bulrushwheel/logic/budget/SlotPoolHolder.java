package org.bulrushwheel.logic.budget;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

import org.bulrushwheel.model.proto.SlotAddress;
import org.bulrushwheel.model.proto.SlotCount;
import org.bulrushwheel.model.proto.SlotGrant;
import org.bulrushwheel.model.proto.SlotRequest;

/**
 * An instance's slots of one pool.
 *
 * <p>Invariant: a slot is handed out only before the deadline of its session, which counts from when the instance
 * asked. Not thread safe.
 */
public final class SlotPoolHolder {
    private static final int ASKS_KEPT = 64;

    private final String pool;
    private final Map<String, Long> granted = new HashMap<>();
    private final Map<String, Long> returned = new HashMap<>();
    private final Map<String, Integer> inUse = new HashMap<>();
    private final Map<String, Integer> carried = new HashMap<>();
    private final Set<String> withdrawn = new HashSet<>();
    private final Map<String, String> addresses = new HashMap<>();
    private final TreeMap<Long, Long> askedMillisBySequence = new TreeMap<>();
    private long epoch;
    private long sequence;
    private long deadlineMillis = Long.MIN_VALUE / 2;
    private OptionalLong capacity = OptionalLong.empty();
    private boolean opening = true;
    private boolean recall;
    private Optional<String> ownerHint = Optional.empty();

    /**
     * A holder without slots.
     *
     * @param pool name of the pool
     * @param firstEpoch above every epoch of an earlier process of this instance
     */
    public SlotPoolHolder(String pool, long firstEpoch) {
        this.pool = pool;
        this.epoch = firstEpoch;
    }

    /** Takes an idle slot, if there is one and the session stands. */
    public Optional<String> tryAcquire(Set<String> excluded, Comparator<String> order, long nowMillis) {
        if (nowMillis >= deadlineMillis) {
            return Optional.empty();
        }
        Optional<String> endpoint = granted.keySet().stream()
                .filter(name -> !excluded.contains(name) && !withdrawn.contains(name) && idle(name) > 0)
                .min(order.thenComparing(Comparator.naturalOrder()));
        endpoint.ifPresent(name -> inUse.merge(name, 1, Integer::sum));
        return endpoint;
    }

    /** Gives a slot back after use; it stays with this instance until it is returned. */
    public void release(String endpoint) {
        if (carried.getOrDefault(endpoint, 0) > 0) {
            carried.merge(endpoint, -1, Integer::sum);
        } else {
            inUse.merge(endpoint, -1, Integer::sum);
        }
    }

    /**
     * Makes the next request: renews the session, returns idle slots beyond the reserve, and asks for more.
     *
     * @param wanted slots wanted in addition
     * @param reserve idle slots that this instance keeps; none when the owner has recalled them
     * @param avoided endpoints that it wants no slots of
     */
    public SlotRequest request(int wanted, int reserve, Set<String> avoided, long nowMillis) {
        if (nowMillis >= deadlineMillis && !opening) {
            startEpoch();
        }
        returnIdle(recall ? 0 : reserve, avoided);
        sequence++;
        askedMillisBySequence.put(sequence, nowMillis);
        if (askedMillisBySequence.size() > ASKS_KEPT) {
            askedMillisBySequence.pollFirstEntry();
        }
        SlotRequest.Builder request = SlotRequest.newBuilder()
                .setPool(pool)
                .setEpoch(epoch)
                .setSequence(sequence)
                .setOpening(opening)
                .setWanted(wanted)
                .addAllAvoided(avoided);
        returned.forEach((endpoint, count) -> request.addReturned(count(endpoint, count)));
        carried.forEach((endpoint, count) -> {
            if (count > 0) {
                request.addCarried(count(endpoint, count));
            }
        });
        return request.build();
    }

    /** Takes a grant; one of another epoch changes nothing. */
    public void onGrant(SlotGrant grant, long nowMillis) {
        if (grant.getNotOwner()) {
            ownerHint = grant.getOwner().isEmpty() ? Optional.empty() : Optional.of(grant.getOwner());
            return;
        }
        if (grant.getLapsed()) {
            if (grant.getEpoch() == epoch) {
                startEpoch();
            }
            return;
        }
        Long askedMillis = askedMillisBySequence.get(grant.getSequence());
        boolean known = grant.getEpoch() == epoch && askedMillis != null;
        if (!known) {
            return;
        }
        opening = false;
        deadlineMillis = Math.max(deadlineMillis, askedMillis + grant.getValidForMillis());
        recall = grant.getRecall();
        withdrawn.clear();
        withdrawn.addAll(grant.getWithdrawnList());
        capacity = OptionalLong.of(grant.getCapacity());
        grant.getGrantedList().forEach(count -> granted.merge(count.getEndpoint(), count.getCount(), Math::max));
        grant.getAddressesList().forEach(this::learnAddress);
    }

    /** Gives up the session, as its owner is no longer the one to ask. */
    public void resetSession() {
        startEpoch();
    }

    /** Returns the address of an endpoint, as its owner told it. */
    public Optional<String> addressOf(String endpoint) {
        return Optional.ofNullable(addresses.get(endpoint));
    }

    /** Returns the instance that the last asked one took for the owner. */
    public Optional<String> ownerHint() {
        return ownerHint;
    }

    /** Returns the slots of the whole pool as its owner told them; none before the first grant. */
    public OptionalLong capacity() {
        return capacity;
    }

    /** Returns the slots of an endpoint that may be handed out or are in use under the standing session. */
    public long held(String endpoint, long nowMillis) {
        return nowMillis >= deadlineMillis
                ? 0
                : granted.getOrDefault(endpoint, 0L) - returned.getOrDefault(endpoint, 0L);
    }

    /** Returns the slots that are neither in use nor returned; none once the session has lapsed. */
    public int idle(long nowMillis) {
        return nowMillis >= deadlineMillis
                ? 0
                : granted.keySet().stream()
                        .filter(endpoint -> !withdrawn.contains(endpoint))
                        .mapToInt(this::idle)
                        .sum();
    }

    /** Returns the slots in use, those of lapsed sessions among them. */
    public int inUse() {
        return inUse.values().stream().mapToInt(Integer::intValue).sum()
                + carried.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Whether an owner has granted this holder a session that stands. */
    public boolean isOpen(long nowMillis) {
        return !opening && nowMillis < deadlineMillis;
    }

    /** Whether idle slots are to be returned at once. */
    public boolean isRecalled() {
        return recall;
    }

    /** Whether the session needs to be renewed to keep what it holds. */
    public boolean holdsAny(long nowMillis) {
        return inUse() > 0 || idle(nowMillis) > 0;
    }

    private void learnAddress(SlotAddress address) {
        addresses.put(address.getEndpoint(), address.getAddress());
    }

    private int idle(String endpoint) {
        long held = granted.get(endpoint) - returned.getOrDefault(endpoint, 0L);
        return (int) held - inUse.getOrDefault(endpoint, 0);
    }

    private void startEpoch() {
        epoch++;
        sequence = 0;
        deadlineMillis = Long.MIN_VALUE / 2;
        opening = true;
        askedMillisBySequence.clear();
        inUse.forEach((endpoint, count) -> carried.merge(endpoint, count, Integer::sum));
        inUse.clear();
        granted.clear();
        returned.clear();
        recall = false;
        withdrawn.clear();
        carried.values().removeIf(count -> count <= 0);
    }

    private void returnIdle(int reserve, Set<String> avoided) {
        int kept = 0;
        for (String endpoint : new HashSet<>(granted.keySet())) {
            int idle = idle(endpoint);
            int keep = avoided.contains(endpoint) || withdrawn.contains(endpoint)
                    ? 0
                    : Math.min(idle, Math.max(0, reserve - kept));
            kept += keep;
            if (idle > keep) {
                returned.merge(endpoint, (long) idle - keep, Long::sum);
            }
        }
    }

    private static SlotCount count(String endpoint, long count) {
        return SlotCount.newBuilder().setEndpoint(endpoint).setCount(count).build();
    }
}
