package org.bulrushwheel.measure.steer;

import java.util.HashSet;
import java.util.Set;

/**
 * A request on its way.
 *
 * <p>Not thread safe.
 */
final class SteerRequest {
    private final long id;
    private final long arrivedMicros;
    private final Set<String> tried = new HashSet<>();

    SteerRequest(long id, long arrivedMicros) {
        this.id = id;
        this.arrivedMicros = arrivedMicros;
    }

    long id() {
        return id;
    }

    long arrivedMicros() {
        return arrivedMicros;
    }

    Set<String> tried() {
        return tried;
    }
}
