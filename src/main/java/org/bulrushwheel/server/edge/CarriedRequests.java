package org.bulrushwheel.server.edge;

import java.util.Arrays;

import org.bulrushwheel.logic.hash.StableHash;

/**
 * IDs of the requests that a connection has carried.
 *
 * <p>Invariant: an ID that was added is found; others are found by mistake only if their hashes are equal. Not thread
 * safe: confined to one event loop.
 */
final class CarriedRequests {
    /** Most requests that a connection carries, which bounds the memory of this set. */
    static final int MAX_REQUESTS = 256;

    private long[] hashes = new long[4];
    private int count;

    /** Adds the ID of the request that is sent next. */
    void add(String requestId) {
        if (count == hashes.length) {
            hashes = Arrays.copyOf(hashes, 2 * count);
        }
        hashes[count++] = StableHash.hash(requestId);
    }

    /** Whether a request with this ID was sent on the connection before. */
    boolean contains(String requestId) {
        long hash = StableHash.hash(requestId);
        return Arrays.stream(hashes, 0, count).anyMatch(carried -> carried == hash);
    }

    /** Returns how many requests the connection has carried. */
    int count() {
        return count;
    }

    boolean isFull() {
        return count >= MAX_REQUESTS;
    }
}
