package org.bulrushwheel.server.admin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Hashes of the tokens that were an operator's of late. The bound on calls is there for whoever tries tokens; an operator's
 * own orders don't count towards it.
 *
 * <p>Invariant: says nothing of what an operator may do, which is read anew for each call. Thread safe.
 */
final class KnownTokens {
    // Longer than the pause between an operator's calls in a break.
    private static final long KNOWN_MILLIS = 60_000;

    private final Map<String, Long> deadlineMillisByHash = new ConcurrentHashMap<>();

    void add(String hash, long nowMillis) {
        deadlineMillisByHash.values().removeIf(deadlineMillis -> deadlineMillis <= nowMillis);
        deadlineMillisByHash.put(hash, nowMillis + KNOWN_MILLIS);
    }

    boolean contains(String hash, long nowMillis) {
        return nowMillis < deadlineMillisByHash.getOrDefault(hash, Long.MIN_VALUE);
    }
}
