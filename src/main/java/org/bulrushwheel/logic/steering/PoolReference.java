package org.bulrushwheel.logic.steering;

/**
 * A pool that an instance may use.
 *
 * <p>Immutable and thread safe.
 *
 * @param zone zone of the pool
 * @param askAfterMillis how long a request waits before this pool is asked; 0 for the instance's own zone
 */
public record PoolReference(String zone, long askAfterMillis) {}
