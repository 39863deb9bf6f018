package org.bulrushwheel.logic.raft;

import java.util.random.RandomGenerator;

/**
 * Randomized election timeout of a replica, and the times of its last contact with a leader and of its last being up to
 * date.
 *
 * <p>Not thread safe: owned by one {@link RaftNode}.
 */
final class ElectionTimer {
    private static final int FIRST_TIMEOUT_DIVISOR = 3;

    private final RaftTimings timings;
    private final RandomGenerator random;
    private long electionDeadlineMillis;
    private long lastLeaderContactMillis = Long.MIN_VALUE / 2;
    private long caughtUpMillis = Long.MIN_VALUE / 2;

    ElectionTimer(RaftTimings timings, RandomGenerator random, long nowMillis) {
        this.timings = timings;
        this.random = random;
        // The first timeout is shorter, because replicas that start together have no leader. An existing leader sends a
        // heartbeat before even the shortest timeout expires.
        long minMillis = timings.electionTimeoutMillis() / FIRST_TIMEOUT_DIVISOR;
        electionDeadlineMillis = nowMillis + minMillis + random.nextLong(timings.electionTimeoutMillis() - minMillis);
    }

    /** Restarts the timer with a random duration between one and two election timeouts. */
    void restart(long nowMillis) {
        electionDeadlineMillis =
                nowMillis + timings.electionTimeoutMillis() + random.nextLong(timings.electionTimeoutMillis());
    }

    void recordLeaderContact(long nowMillis) {
        lastLeaderContactMillis = nowMillis;
        restart(nowMillis);
    }

    /** Records that this follower has everything that its leader had committed. */
    void recordCaughtUp(long nowMillis) {
        caughtUpMillis = nowMillis;
    }

    /** Returns the time until which this follower counts as up to date. */
    long caughtUpUntilMillis() {
        return caughtUpMillis + timings.electionTimeoutMillis();
    }

    boolean isElectionDue(long nowMillis) {
        return nowMillis >= electionDeadlineMillis;
    }

    boolean hasRecentLeaderContact(long nowMillis) {
        return nowMillis - lastLeaderContactMillis < timings.electionTimeoutMillis();
    }
}
