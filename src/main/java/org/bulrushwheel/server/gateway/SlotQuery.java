package org.bulrushwheel.server.gateway;

import java.util.Set;

/**
 * Request for a slot lease.
 *
 * <p>Immutable and thread safe.
 *
 * @param service service of the request
 * @param excluded names of endpoints that must not be used because this request failed on them
 * @param waitingSinceMillis monotonic time in milliseconds from which the wait of the request for a slot counts
 * @param deadlineMillis monotonic time in milliseconds until which to wait for a slot
 */
public record SlotQuery(String service, Set<String> excluded, long waitingSinceMillis, long deadlineMillis) {
    /** Copies the set of excluded endpoints. */
    public SlotQuery {
        excluded = Set.copyOf(excluded);
    }
}
