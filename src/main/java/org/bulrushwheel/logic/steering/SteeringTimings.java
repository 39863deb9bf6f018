package org.bulrushwheel.logic.steering;

/**
 * Time limits of the request queues and renewal interval of slot sessions.
 *
 * <p>Immutable and thread safe.
 *
 * @param maxWaitMillis maximum wait of a request for a slot while there is a session with a pool owner
 * @param ownerWaitMillis maximum wait while there is no such session, for example during a takeover of the pool
 * @param renewMillis interval between renewals of a session
 */
public record SteeringTimings(long maxWaitMillis, long ownerWaitMillis, long renewMillis) {
    /** Timings used by the daemon. */
    public static final SteeringTimings DEFAULT = new SteeringTimings(250, 2_500, 300);
}
