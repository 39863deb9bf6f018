package org.bulrushwheel.logic.steering;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Ejects endpoints after several consecutive failures. Each further ejection lasts twice as long, up to a maximum.
 *
 * <p>Invariant: at most half of the endpoints that had an outcome are ejected at once; if more fail, the fault is more
 * likely at this instance. Not thread safe.
 */
public final class OutlierDetector {
    private static final int CONSECUTIVE_FAILURES_TO_EJECT = 3;
    private static final long BASE_EJECTION_MILLIS = 1_000;
    private static final int MAX_DOUBLINGS = 5;

    private static final class Record {
        private int consecutiveFailures;
        private int ejections;
        private long ejectedUntilMillis = Long.MIN_VALUE;
    }

    private final Map<String, Record> records = new HashMap<>();

    /** Records a complete answer. */
    public void onSuccess(String endpoint) {
        Record record = records.computeIfAbsent(endpoint, name -> new Record());
        record.consecutiveFailures = 0;
        record.ejections = 0;
    }

    /** Records a failure; returns whether it ejects the endpoint. */
    public boolean onFailure(String endpoint, long nowMillis) {
        Record record = records.computeIfAbsent(endpoint, name -> new Record());
        record.consecutiveFailures++;
        boolean ejectionAllowed = 2 * (ejected(nowMillis).size() + 1) <= records.size();
        if (record.consecutiveFailures < CONSECUTIVE_FAILURES_TO_EJECT || !ejectionAllowed) {
            return false;
        }
        record.consecutiveFailures = 0;
        record.ejectedUntilMillis = nowMillis + (BASE_EJECTION_MILLIS << Math.min(record.ejections, MAX_DOUBLINGS));
        record.ejections++;
        return true;
    }

    /** Returns the endpoints that are ejected at the given time. */
    public Set<String> ejected(long nowMillis) {
        Set<String> ejected = new HashSet<>();
        records.forEach((endpoint, record) -> {
            if (record.ejectedUntilMillis > nowMillis) {
                ejected.add(endpoint);
            }
        });
        return ejected;
    }
}
