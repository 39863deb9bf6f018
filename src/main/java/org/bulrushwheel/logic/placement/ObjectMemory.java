package org.bulrushwheel.logic.placement;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Where this instance has sent requests for an object of late: an endpoint works faster on an object that it has handled.
 *
 * <p>Invariant: bounded; what was used least recently is forgotten first. Not thread safe.
 */
final class ObjectMemory {
    // Longer than an object in use goes without a request of one instance.
    private static final long KEPT_MILLIS = 30_000;
    // About 100 bytes each.
    private static final int MAX_PLACES = 8_192;

    private record Place(String object, String endpoint) {}

    private final Map<Place, Long> lastMillis = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Place, Long> eldest) {
            return size() > MAX_PLACES;
        }
    };

    void sent(String object, String endpoint, long nowMillis) {
        lastMillis.put(new Place(object, endpoint), nowMillis);
    }

    boolean hasHandled(String object, String endpoint, long nowMillis) {
        Long last = lastMillis.get(new Place(object, endpoint));
        return last != null && nowMillis - last <= KEPT_MILLIS;
    }
}
