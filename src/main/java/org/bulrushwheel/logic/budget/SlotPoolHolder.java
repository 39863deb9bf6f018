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
 * The slots of one pool that an instance holds under a session with the pool's owner.
 *
 * <p>Invariant: a slot is acquired only before the deadline of its session, which is measured from the instance's
 * request. Not thread safe.
 */
public final class SlotPoolHolder {
    private static final int MAX_REMEMBERED_REQUESTS = 64;

    private final String pool;
    private final Map<String, Long> granted = new HashMap<>();
    private final Map<String, Long> returned = new HashMap<>();
    private final Map<String, Integer> inUse = new HashMap<>();
    private final Map<String, Integer> carried = new HashMap<>();
    private final Set<String> withdrawn = new HashSet<>();
    private final Map<String, String> addresses = new HashMap<>();
    private final TreeMap<Long, Long> requestMillisBySequence = new TreeMap<>();
    private long epoch;
    private long sequence;
    private long deadlineMillis = Long.MIN_VALUE / 2;
    private OptionalLong capacity = OptionalLong.empty();
    private boolean opening = true;
    private boolean recall;
    private Optional<String> ownerHint = Optional.empty();

    /**
     * Creates a holder without slots.
     *
     * @param pool name of the pool
     * @param firstEpoch first epoch; greater than every epoch of earlier processes of this instance
     */
    public SlotPoolHolder(String pool, long firstEpoch) {
        this.pool = pool;
        this.epoch = firstEpoch;
    }

    /** Acquires an idle slot; empty if there is none or the session has expired. */
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

    /** Releases a slot after use; the instance still holds it until it is returned to the owner. */
    public void release(String endpoint) {
        if (carried.getOrDefault(endpoint, 0) > 0) {
            carried.merge(endpoint, -1, Integer::sum);
        } else {
            inUse.merge(endpoint, -1, Integer::sum);
        }
    }

    /**
     * Creates the next request: renews the session, returns idle slots beyond the reserve, and requests more slots.
     *
     * @param wanted number of additional slots
     * @param reserve number of idle slots to keep; ignored if the owner has recalled them
     * @param avoided endpoints whose slots are not wanted
     */
    public SlotRequest request(int wanted, int reserve, Set<String> avoided, long nowMillis) {
        if (nowMillis >= deadlineMillis && !opening) {
            startEpoch();
        }
        returnIdle(recall ? 0 : reserve, avoided);
        sequence++;
        requestMillisBySequence.put(sequence, nowMillis);
        if (requestMillisBySequence.size() > MAX_REMEMBERED_REQUESTS) {
            requestMillisBySequence.pollFirstEntry();
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

    /** Processes a grant; a grant of another epoch does not change the session. */
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
        Long requestMillis = requestMillisBySequence.get(grant.getSequence());
        boolean expected = grant.getEpoch() == epoch && requestMillis != null;
        if (!expected) {
            return;
        }
        opening = false;
        deadlineMillis = Math.max(deadlineMillis, requestMillis + grant.getValidForMillis());
        recall = grant.getRecall();
        withdrawn.clear();
        withdrawn.addAll(grant.getWithdrawnList());
        capacity = OptionalLong.of(grant.getCapacity());
        grant.getGrantedList().forEach(count -> granted.merge(count.getEndpoint(), count.getCount(), Math::max));
        grant.getAddressesList().forEach(this::storeAddress);
    }

    /** Abandons the session, because the pool has another owner. */
    public void resetSession() {
        startEpoch();
    }

    /** Whether the owner has said that an endpoint gets no new requests. */
    public boolean isWithdrawn(String endpoint) {
        return withdrawn.contains(endpoint);
    }

    /** Returns the address of an endpoint, as received from the pool's owner. */
    public Optional<String> addressOf(String endpoint) {
        return Optional.ofNullable(addresses.get(endpoint));
    }

    /** Returns the owner named by the instance that last answered that it is not the owner. */
    public Optional<String> ownerHint() {
        return ownerHint;
    }

    /**
     * Returns the number of slots of the pool's endpoints that this instance doesn't avoid, as received from its owner; empty
     * before the first grant.
     */
    public OptionalLong capacity() {
        return capacity;
    }

    /** Returns the number of slots of an endpoint that are idle or in use under the current session. */
    public long held(String endpoint, long nowMillis) {
        return nowMillis >= deadlineMillis
                ? 0
                : granted.getOrDefault(endpoint, 0L) - returned.getOrDefault(endpoint, 0L);
    }

    /** Returns the number of slots of an endpoint in use, including those acquired in expired sessions. */
    public int inUse(String endpoint) {
        return inUse.getOrDefault(endpoint, 0) + carried.getOrDefault(endpoint, 0);
    }

    /** Returns the number of slots that are neither in use nor returned; 0 once the session has expired. */
    public int idle(long nowMillis) {
        return nowMillis >= deadlineMillis
                ? 0
                : granted.keySet().stream()
                        .filter(endpoint -> !withdrawn.contains(endpoint))
                        .mapToInt(this::idle)
                        .sum();
    }

    /** Returns the number of slots in use, including those acquired in expired sessions. */
    public int inUse() {
        return inUse.values().stream().mapToInt(Integer::intValue).sum()
                + carried.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Whether an owner has opened a session for this holder that has not expired. */
    public boolean isOpen(long nowMillis) {
        return !opening && nowMillis < deadlineMillis;
    }

    /** Whether the owner has recalled idle slots, which are then to be returned at once. */
    public boolean isRecalled() {
        return recall;
    }

    /** Whether this holder has idle or used slots, so that the session has to be renewed. */
    public boolean holdsAny(long nowMillis) {
        return inUse() > 0 || idle(nowMillis) > 0;
    }

    private void storeAddress(SlotAddress address) {
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
        requestMillisBySequence.clear();
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
