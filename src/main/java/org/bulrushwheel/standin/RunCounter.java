package org.bulrushwheel.standin;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts runs by idempotency key.
 *
 * <p>Thread safe.
 */
public final class RunCounter {
    private final Map<String, AtomicInteger> runsByKey = new ConcurrentHashMap<>();

    /** Counts one run. */
    public void onRun(String key) {
        runsByKey.computeIfAbsent(key, name -> new AtomicInteger()).incrementAndGet();
    }

    /** Returns the runs of a key. */
    public int runsOf(String key) {
        AtomicInteger runs = runsByKey.get(key);
        return runs == null ? 0 : runs.get();
    }

    /** Returns the runs of each key, sorted. */
    public Map<String, Integer> runs() {
        Map<String, Integer> runs = new TreeMap<>();
        runsByKey.forEach((key, count) -> runs.put(key, count.get()));
        return runs;
    }
}
