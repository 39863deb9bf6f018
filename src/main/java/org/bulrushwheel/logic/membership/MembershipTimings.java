package org.bulrushwheel.logic.membership;

/**
 * Time settings of zone membership. The lease is shorter than the death time-out, so that an instance stops acting as an
 * owner before another instance takes over.
 *
 * <p>Immutable and thread safe.
 *
 * @param heartbeatMillis interval between heartbeats
 * @param suspectMillis time without a heartbeat after which an instance is excluded from look-ups
 * @param leaseMillis lease duration, counted from the sending of the last echoed heartbeat
 * @param deadMillis time without a heartbeat after which an instance is considered dead
 * @param takeoverMillis how long a new owner waits, so that every grant of the previous owner has expired
 */
public record MembershipTimings(
        long heartbeatMillis, long suspectMillis, long leaseMillis, long deadMillis, long takeoverMillis) {
    /** Defaults for the network delays inside a zone. */
    public static final MembershipTimings DEFAULT = new MembershipTimings(200, 700, 1_000, 1_500, 1_200);
}
