package org.bulrushwheel.logic.membership;

/**
 * Times of zone membership. The lease is shorter than the time to a death, so that an instance stops to act as an owner
 * before others take over.
 *
 * <p>Immutable and thread safe.
 *
 * @param heartbeatMillis time between heartbeats
 * @param suspectMillis silence after which an instance is left out of look-ups
 * @param leaseMillis how long an echoed heartbeat lets an instance act as an owner, from when it was sent
 * @param deadMillis silence after which an instance counts as dead
 * @param takeoverMillis how long a new owner waits, so that every grant of the one before it has ended
 */
public record MembershipTimings(
        long heartbeatMillis, long suspectMillis, long leaseMillis, long deadMillis, long takeoverMillis) {
    /** Times that suit the delays inside a zone. */
    public static final MembershipTimings DEFAULT = new MembershipTimings(200, 700, 1_000, 1_500, 1_200);
}
