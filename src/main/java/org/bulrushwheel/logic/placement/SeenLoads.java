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
 * Loads of endpoints that wait to be told to other instances.
 *
 * <p>Invariants: of an endpoint only the latest load waits; one that is not full is told only after it was told full, so
 * that a deployment at ease tells nothing. Not thread safe.
 */
public final class SeenLoads {
    // The fullest are told: 2 KB a notice, so that an instance stays below 11 KB/s for control (docs/CAPACITY.md).
    private static final int MOST_TOLD = 100;

    private record Seen(int requests, long atMillis) {}

    private final Map<String, Seen> waiting = new HashMap<>();
    private final Set<String> toldFull = new HashSet<>();

    /** Takes what an endpoint said of itself; returns whether others are to hear of it. */
    public boolean seen(String endpoint, int requests, int slots, long nowMillis) {
        boolean full = requests >= slots;
        if (!full && !toldFull.contains(endpoint)) {
            return false;
        }
        add(endpoint, requests, nowMillis);
        if (full) {
            toldFull.add(endpoint);
        } else {
            toldFull.remove(endpoint);
        }
        return true;
    }

    /** Takes what another instance has seen, to pass it on. */
    public void heard(SeenLoad load, long nowMillis) {
        add(load.getEndpoint(), load.getRequests(), nowMillis - load.getAgeMillis());
    }

    /** Returns what waits, the fullest first, and forgets it. */
    public List<SeenLoad> take(long nowMillis) {
        List<SeenLoad> loads = new ArrayList<>();
        waiting.forEach((endpoint, seen) -> loads.add(SeenLoad.newBuilder()
                .setEndpoint(endpoint)
                .setRequests(seen.requests())
                .setAgeMillis((int) Math.max(0, nowMillis - seen.atMillis()))
                .build()));
        waiting.clear();
        loads.sort(Comparator.comparingInt(SeenLoad::getRequests).reversed());
        return loads.size() > MOST_TOLD ? List.copyOf(loads.subList(0, MOST_TOLD)) : loads;
    }

    private void add(String endpoint, int requests, long atMillis) {
        waiting.merge(
                endpoint,
                new Seen(requests, atMillis),
                (old, latest) -> latest.atMillis() >= old.atMillis() ? latest : old);
    }
}
