package org.bulrushwheel.measure.affinity;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * An endpoint with slots, a queue, and objects that it handles faster.
 *
 * <p>Not thread safe.
 */
final class ModelEndpoint {
    final Deque<ModelRequest> waiting = new ArrayDeque<>();
    private final int objectsKept;
    private final Map<String, Boolean> handled = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > objectsKept;
        }
    };
    int running;

    ModelEndpoint(int objectsKept) {
        this.objectsKept = objectsKept;
    }

    /** Notes the object; returns whether it is handled faster. */
    boolean handles(String object) {
        return handled.put(object, true) != null;
    }

    int load() {
        return running + waiting.size();
    }
}
