package org.bulrushwheel.logic.placement;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The endpoints to which this instance has recently sent requests for an object. An endpoint serves an object faster if
 * it has handled it before.
 *
 * <p>Invariant: bounded; the least recently used entry is evicted first. Not thread safe.
 */
final class RecentPlacements {
    // Longer than the time between two requests of one instance for an object in use.
    private static final long RETENTION_MILLIS = 30_000;
    // About 100 bytes per entry.
    private static final int MAX_ENTRIES = 8_192;

    private record Placement(String object, String endpoint) {}

    private final Map<Placement, Long> lastSentMillis = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Placement, Long> eldest) {
            return size() > MAX_ENTRIES;
        }
    };

    void sent(String object, String endpoint, long nowMillis) {
        lastSentMillis.put(new Placement(object, endpoint), nowMillis);
    }

    boolean hasHandled(String object, String endpoint, long nowMillis) {
        Long sentMillis = lastSentMillis.get(new Placement(object, endpoint));
        return sentMillis != null && nowMillis - sentMillis <= RETENTION_MILLIS;
    }
}
