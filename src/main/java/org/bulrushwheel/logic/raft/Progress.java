package org.bulrushwheel.logic.raft;

/**
 * What a leader knows of one peer.
 *
 * <p>Not thread safe: owned by one {@link RaftNode}.
 */
final class Progress {
    private long matchIndex;
    private long nextIndex;
    private long lastContactMillis;
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

    void contacted(long nowMillis, long round) {
        lastContactMillis = nowMillis;
        confirmedRound = Math.max(confirmedRound, round);
    }

    void matched(long index) {
        matchIndex = Math.max(matchIndex, index);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
    }

    void rejected(long hint) {
        nextIndex = Math.max(matchIndex + 1, Math.min(nextIndex, hint + 1));
    }

    void sentUpTo(long index) {
        nextIndex = Math.max(nextIndex, index + 1);
    }

    boolean maySendSnapshot(long nowMillis, long pauseMillis) {
        if (nowMillis - snapshotSentMillis < pauseMillis) {
            return false;
        }
        snapshotSentMillis = nowMillis;
        return true;
    }
}
