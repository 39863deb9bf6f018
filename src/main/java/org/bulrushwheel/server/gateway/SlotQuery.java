package org.bulrushwheel.server.gateway;

import java.util.Set;

/**
 * What a request needs of an endpoint.
 *
 * <p>Immutable and thread safe.
 *
 * @param service service of the request
 * @param excluded names of the endpoints that this request has failed on
 * @param deadlineMillis monotonic time up to which to wait
 */
public record SlotQuery(String service, Set<String> excluded, long deadlineMillis) {
    /** Copies the set. */
    public SlotQuery {
        excluded = Set.copyOf(excluded);
    }
}
