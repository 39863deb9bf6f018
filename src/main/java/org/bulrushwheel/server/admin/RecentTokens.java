package org.bulrushwheel.server.admin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Hashes of recently authenticated tokens. The rate limit protects against callers that guess tokens; requests of
 * operators don't count towards it.
 *
 * <p>Invariant: grants no permissions; the operator and role are read again for each request. Thread safe.
 */
final class RecentTokens {
    // Longer than the interval between the requests of an operator in a break between shifts.
    private static final long RETENTION_MILLIS = 60_000;

    private final Map<String, Long> deadlineMillisByHash = new ConcurrentHashMap<>();

    void add(String hash, long nowMillis) {
        deadlineMillisByHash.values().removeIf(deadlineMillis -> deadlineMillis <= nowMillis);
        deadlineMillisByHash.put(hash, nowMillis + RETENTION_MILLIS);
    }

    boolean contains(String hash, long nowMillis) {
        return nowMillis < deadlineMillisByHash.getOrDefault(hash, Long.MIN_VALUE);
    }
}
