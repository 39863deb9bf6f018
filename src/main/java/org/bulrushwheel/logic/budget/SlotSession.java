package org.bulrushwheel.logic.budget;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.bulrushwheel.model.proto.SlotCount;
import org.bulrushwheel.model.proto.SlotGrant;
import org.bulrushwheel.model.proto.SlotRequest;

/**
 * Slots that an owner has granted to one holder in one epoch. The counters of granted and returned slots only grow, so
 * duplicate and reordered messages are harmless.
 *
 * <p>Not thread safe: owned by one {@link SlotPoolOwner}.
 */
final class SlotSession {
    private final long epoch;
    private final boolean remote;
    private final Map<String, Long> granted = new HashMap<>();
    private final Map<String, Long> returned = new HashMap<>();
    private final Map<String, Long> carried = new HashMap<>();
    private final Set<String> avoided = new HashSet<>();
    private long sequence;
    private long deadlineMillis;
    private long wanted;
    private boolean recallSent;
    private Set<String> withdrawnSent = Set.of();

    SlotSession(long epoch, boolean remote) {
        this.epoch = epoch;
        this.remote = remote;
    }

    long epoch() {
        return epoch;
    }

    boolean isRemote() {
        return remote;
    }

    long deadlineMillis() {
        return deadlineMillis;
    }

    long wanted() {
        return wanted;
    }

    /** Records the recall flag and the withdrawn endpoints that were last sent to the holder. */
    void recordSent(boolean recall, Set<String> withdrawn) {
        recallSent = recall;
        withdrawnSent = Set.copyOf(withdrawn);
    }

    boolean isWithdrawnSent(Set<String> withdrawn) {
        return withdrawnSent.equals(withdrawn);
    }

    boolean isRecallSent() {
        return recallSent;
    }

    Set<String> endpoints() {
        Set<String> endpoints = new HashSet<>(granted.keySet());
        endpoints.addAll(carried.keySet());
        return endpoints;
    }

    boolean avoids(String endpoint) {
        return avoided.contains(endpoint);
    }

    /** Applies a request's counters and wanted slots; false if one with the same or a later sequence was applied. */
    boolean update(SlotRequest request, long newDeadlineMillis) {
        if (request.getSequence() <= sequence) {
            return false;
        }
        sequence = request.getSequence();
        deadlineMillis = newDeadlineMillis;
        wanted = request.getWanted();
        avoided.clear();
        avoided.addAll(request.getAvoidedList());
        request.getReturnedList().forEach(count -> returned.merge(count.getEndpoint(), count.getCount(), Math::max));
        carried.clear();
        request.getCarriedList().forEach(count -> carried.put(count.getEndpoint(), count.getCount()));
        return true;
    }

    void grant(String endpoint) {
        granted.merge(endpoint, 1L, Long::sum);
        wanted--;
    }

    /** Returns the number of slots of the endpoint that the holder may be using. */
    long outstanding(String endpoint) {
        return granted.getOrDefault(endpoint, 0L)
                - returned.getOrDefault(endpoint, 0L)
                + carried.getOrDefault(endpoint, 0L);
    }

    boolean holdsAny() {
        return granted.entrySet().stream()
                .anyMatch(entry -> entry.getValue() > returned.getOrDefault(entry.getKey(), 0L));
    }

    SlotGrant.Builder toGrant(String pool) {
        SlotGrant.Builder grant =
                SlotGrant.newBuilder().setPool(pool).setEpoch(epoch).setSequence(sequence);
        granted.forEach((endpoint, count) ->
                grant.addGranted(SlotCount.newBuilder().setEndpoint(endpoint).setCount(count)));
        return grant;
    }
}
