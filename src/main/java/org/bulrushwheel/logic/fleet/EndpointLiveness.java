package org.bulrushwheel.logic.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Detects silent endpoints from the time of their last announcement.
 *
 * <p>Invariant: when more than 60 % of the endpoints are silent at once, none is reported, since a failed measurement is
 * then more likely than the failure of so many endpoints. Not thread safe.
 */
public final class EndpointLiveness {
    private static final double MAX_SILENT_SHARE = 0.6;

    private final long silentAfterMillis;
    private final Map<String, Long> lastHeardMillis = new HashMap<>();

    /**
     * Creates a detector without known endpoints.
     *
     * @param silentAfterMillis time without an announcement after which an endpoint is silent
     */
    public EndpointLiveness(long silentAfterMillis) {
        this.silentAfterMillis = silentAfterMillis;
    }

    /** Records that an endpoint has announced itself. */
    public void recordAnnouncement(String id, long nowMillis) {
        lastHeardMillis.put(id, nowMillis);
    }

    /** Discards all times; the timeout of each endpoint then starts at the next call of {@link #silent}. */
    public void restart() {
        lastHeardMillis.clear();
    }

    /** Returns the ids of the ready endpoints that are silent, or none when too many are silent at once. */
    public List<String> silent(Collection<String> ready, long nowMillis) {
        lastHeardMillis.keySet().retainAll(ready);
        ready.forEach(id -> lastHeardMillis.putIfAbsent(id, nowMillis));
        List<String> silent = ready.stream()
                .filter(id -> nowMillis - lastHeardMillis.get(id) > silentAfterMillis)
                .sorted()
                .toList();
        return silent.size() > MAX_SILENT_SHARE * ready.size() ? List.of() : silent;
    }
}
