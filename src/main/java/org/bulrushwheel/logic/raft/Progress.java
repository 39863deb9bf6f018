package org.bulrushwheel.logic.raft;

/**
 * Replication progress of one peer, as tracked by the leader.
 *
 * <p>Not thread safe: owned by one {@link RaftNode}.
 */
final class Progress {
    private long matchIndex;
    private long nextIndex;
    private long lastContactMillis;
    /** Latest heartbeat round that the peer has acknowledged. */
    private long confirmedRound;

    private long snapshotSentMillis;

    Progress(long nextIndex, long nowMillis) {
        this.nextIndex = nextIndex;
        this.lastContactMillis = nowMillis;
        this.snapshotSentMillis = Long.MIN_VALUE / 2;
    }

    long matchIndex() {
        return matchIndex;
    }

    long nextIndex() {
        return nextIndex;
    }

    long confirmedRound() {
        return confirmedRound;
    }

    long lastContactMillis() {
        return lastContactMillis;
    }

    void recordContact(long nowMillis, long round) {
        lastContactMillis = nowMillis;
        confirmedRound = Math.max(confirmedRound, round);
    }

    void recordMatch(long index) {
        matchIndex = Math.max(matchIndex, index);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
    }

    /** Moves the next index back after a log mismatch, but never below the acknowledged entries. */
    void recordRejection(long matchIndexHint) {
        nextIndex = Math.max(matchIndex + 1, Math.min(nextIndex, matchIndexHint + 1));
    }

    /** Advances the next index optimistically, before the peer has acknowledged the entries. */
    void recordSent(long index) {
        nextIndex = Math.max(nextIndex, index + 1);
    }

    /** Returns whether a snapshot may be sent now, and if so records the send; limits the rate of snapshots per peer. */
    boolean tryStartSnapshotSend(long nowMillis, long minIntervalMillis) {
        if (nowMillis - snapshotSentMillis < minIntervalMillis) {
            return false;
        }
        snapshotSentMillis = nowMillis;
        return true;
    }
}
