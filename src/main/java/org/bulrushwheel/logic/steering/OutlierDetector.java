package org.bulrushwheel.logic.steering;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Leaves endpoints out that failed several times in a row, longer each time.
 *
 * <p>Invariant: at most half of the endpoints that had an outcome are left out at once; when more fail, the fault is
 * more likely on this side. Not thread safe.
 */
public final class OutlierDetector {
    private static final int FAILURES_IN_A_ROW = 3;
    private static final long BASE_MILLIS = 1_000;
    private static final int MAX_DOUBLINGS = 5;

    private static final class Record {
        private int failures;
        private int ejections;
        private long ejectedUntilMillis = Long.MIN_VALUE;
    }

    private final Map<String, Record> records = new HashMap<>();

    /** Notes a whole answer. */
    public void onSuccess(String endpoint) {
        Record record = records.computeIfAbsent(endpoint, name -> new Record());
        record.failures = 0;
        record.ejections = 0;
    }

    /** Notes a failure; true when the endpoint is left out from now on. */
    public boolean onFailure(String endpoint, long nowMillis) {
        Record record = records.computeIfAbsent(endpoint, name -> new Record());
        record.failures++;
        boolean roomLeft = 2 * (ejected(nowMillis).size() + 1) <= records.size();
        if (record.failures < FAILURES_IN_A_ROW || !roomLeft) {
            return false;
        }
        record.failures = 0;
        record.ejectedUntilMillis = nowMillis + (BASE_MILLIS << Math.min(record.ejections, MAX_DOUBLINGS));
        record.ejections++;
        return true;
    }

    /** Returns the endpoints that are left out. */
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
