package org.bulrushwheel.logic.steering;

/**
 * A slot pool that an instance may use.
 *
 * <p>Immutable and thread safe.
 *
 * @param zone zone of the pool
 * @param requestDelayMillis how long a request waits before slots of this pool are requested for it; 0 for the
 *     instance's own zone
 */
public record PoolReference(String zone, long requestDelayMillis) {}
