package org.bulrushwheel.measure.affinity;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A simulated endpoint with slots, a request queue and an LRU cache of objects that it handles faster.
 *
 * <p>Not thread safe.
 */
final class ModelEndpoint {
    final Deque<ModelRequest> waiting = new ArrayDeque<>();
    private final int cacheSize;
    private final Map<String, Boolean> cachedObjects = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > cacheSize;
        }
    };
    int running;

    ModelEndpoint(int cacheSize) {
        this.cacheSize = cacheSize;
    }

    /** Records the use of an object in the cache; returns whether it was cached already and is handled faster. */
    boolean useObject(String object) {
        return cachedObjects.put(object, true) != null;
    }

    int load() {
        return running + waiting.size();
    }
}
