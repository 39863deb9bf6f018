package org.bulrushwheel.logic.steering;

/**
 * Times of queues.
 *
 * <p>Immutable and thread safe.
 *
 * @param maxWaitMillis longest wait of a request for a slot
 * @param ownerWaitMillis longest wait while no owner has granted this instance anything, as during a takeover
 * @param renewMillis time between renewals of a session
 */
public record SteeringTimings(long maxWaitMillis, long ownerWaitMillis, long renewMillis) {
    /** Times of the daemon. */
    public static final SteeringTimings DEFAULT = new SteeringTimings(250, 2_500, 300);
}
