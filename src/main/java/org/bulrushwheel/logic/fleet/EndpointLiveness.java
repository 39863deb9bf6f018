package org.bulrushwheel.logic.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Judges which endpoints have fallen silent, from when they were heard last.
 *
 * <p>Invariant: when most fall silent together, none is judged: then it is the measuring that has failed. Not thread
 * safe.
 */
public final class EndpointLiveness {
    private static final double MOST = 0.6;

    private final long silentAfterMillis;
    private final Map<String, Long> heardMillis = new HashMap<>();

    /** A judge; endpoints may be silent for that long. */
    public EndpointLiveness(long silentAfterMillis) {
        this.silentAfterMillis = silentAfterMillis;
    }

    /** Notes that an endpoint was heard. */
    public void heard(String id, long nowMillis) {
        heardMillis.put(id, nowMillis);
    }

    /** Forgets everything; an endpoint not heard since counts as heard when it is first asked for. */
    public void restart() {
        heardMillis.clear();
    }

    /** Returns those of the ready endpoints that have fallen silent. */
    public List<String> silent(Collection<String> ready, long nowMillis) {
        heardMillis.keySet().retainAll(ready);
        ready.forEach(id -> heardMillis.putIfAbsent(id, nowMillis));
        List<String> silent = ready.stream()
                .filter(id -> nowMillis - heardMillis.get(id) > silentAfterMillis)
                .sorted()
                .toList();
        return silent.size() > MOST * ready.size() ? List.of() : silent;
    }
}
