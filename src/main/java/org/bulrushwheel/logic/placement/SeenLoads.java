package org.bulrushwheel.logic.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.bulrushwheel.model.proto.SeenLoad;

/**
 * Loads of endpoints that are to be sent to other instances.
 *
 * <p>Invariants: only the latest load of an endpoint is pending; the load of an endpoint that is not full is sent only
 * if its previous one was full, so that nothing is sent while no endpoint is full. Not thread safe.
 */
public final class SeenLoads {
    // Keeps the endpoints with the most requests. Bounds a notice to about 2 KB, so that an instance stays below
    // 11 KB/s of control traffic (docs/CAPACITY.md).
    private static final int MAX_LOADS_PER_NOTICE = 100;

    private record Observation(int requests, long atMillis) {}

    private final Map<String, Observation> pending = new HashMap<>();
    private final Set<String> sentAsFull = new HashSet<>();

    /** Records the load that an endpoint reported; returns whether it is to be sent to other instances. */
    public boolean onLoadReport(String endpoint, int requests, int slots, long nowMillis) {
        boolean full = requests >= slots;
        if (!full && !sentAsFull.contains(endpoint)) {
            return false;
        }
        add(endpoint, requests, nowMillis);
        if (full) {
            sentAsFull.add(endpoint);
        } else {
            sentAsFull.remove(endpoint);
        }
        return true;
    }

    /** Records a load from another instance, to be forwarded. */
    public void onPeerLoad(SeenLoad load, long nowMillis) {
        add(load.getEndpoint(), load.getRequests(), nowMillis - load.getAgeMillis());
    }

    /** Returns and clears the pending loads, those with the most requests first. */
    public List<SeenLoad> take(long nowMillis) {
        List<SeenLoad> loads = new ArrayList<>();
        pending.forEach((endpoint, observation) -> loads.add(SeenLoad.newBuilder()
                .setEndpoint(endpoint)
                .setRequests(observation.requests())
                .setAgeMillis((int) Math.max(0, nowMillis - observation.atMillis()))
                .build()));
        pending.clear();
        loads.sort(Comparator.comparingInt(SeenLoad::getRequests).reversed());
        return loads.size() > MAX_LOADS_PER_NOTICE ? List.copyOf(loads.subList(0, MAX_LOADS_PER_NOTICE)) : loads;
    }

    private void add(String endpoint, int requests, long atMillis) {
        pending.merge(
                endpoint,
                new Observation(requests, atMillis),
                (present, added) -> added.atMillis() >= present.atMillis() ? added : present);
    }
}
