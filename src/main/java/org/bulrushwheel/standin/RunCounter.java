package org.bulrushwheel.standin;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts how often requests were executed, by idempotency key.
 *
 * <p>Thread safe.
 */
public final class RunCounter {
    private final Map<String, AtomicInteger> runsByKey = new ConcurrentHashMap<>();

    /** Records one execution of the request with this idempotency key. */
    public void onRun(String key) {
        runsByKey.computeIfAbsent(key, name -> new AtomicInteger()).incrementAndGet();
    }

    /** Returns the number of executions for an idempotency key, 0 if there were none. */
    public int runsOf(String key) {
        AtomicInteger runs = runsByKey.get(key);
        return runs == null ? 0 : runs.get();
    }

    /** Returns a copy of the execution counts by idempotency key, sorted by key. */
    public Map<String, Integer> runs() {
        Map<String, Integer> runs = new TreeMap<>();
        runsByKey.forEach((key, count) -> runs.put(key, count.get()));
        return runs;
    }
}
