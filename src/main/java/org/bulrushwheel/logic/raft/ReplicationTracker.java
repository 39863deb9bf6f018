package org.bulrushwheel.logic.raft;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToLongFunction;

import org.bulrushwheel.model.proto.Voters;

/**
 * Replication progress of a leader's peers, and the pending reads that wait for a quorum to confirm the leadership.
 *
 * <p>Not thread safe: owned by one {@link RaftNode}.
 */
final class ReplicationTracker {
    private final String self;
    private final Map<String, Progress> progressByPeer = new HashMap<>();
    private final TreeMap<Long, List<Long>> readsByRound = new TreeMap<>();

    ReplicationTracker(String self) {
        this.self = self;
    }

    void clear() {
        progressByPeer.clear();
        readsByRound.clear();
    }

    void discardPendingReads() {
        readsByRound.clear();
    }

    Progress progressOf(String peer, long lastIndex, long nowMillis) {
        return progressByPeer.computeIfAbsent(peer, key -> new Progress(lastIndex + 1, nowMillis));
    }

    long matchIndexOf(String peer) {
        Progress progress = progressByPeer.get(peer);
        return progress == null ? 0 : progress.matchIndex();
    }

    boolean wasActiveWithin(String peer, long withinMillis, long nowMillis) {
        Progress progress = progressByPeer.get(peer);
        return progress != null && nowMillis - progress.lastContactMillis() < withinMillis;
    }

    /** Number of voters that were active within the given time, including the leader. */
    long countActiveVoters(Voters voters, long withinMillis, long nowMillis) {
        return voters.getVotersList().stream()
                .filter(voter -> voter.equals(self) || wasActiveWithin(voter, withinMillis, nowMillis))
                .count();
    }

    /** Voters, without the leader, that were not active within the given time; the longest inactive first. */
    List<String> inactiveVoters(Voters voters, long withinMillis, long nowMillis) {
        return voters.getVotersList().stream()
                .filter(voter -> !voter.equals(self) && !wasActiveWithin(voter, withinMillis, nowMillis))
                .sorted(Comparator.comparingLong(voter -> valueOf(voter, Progress::lastContactMillis)))
                .toList();
    }

    /** Highest index that a majority of voters has synced. */
    long majorityMatch(Voters voters, long ownIndex) {
        return majority(voters, ownIndex, Progress::matchIndex);
    }

    void addPendingRead(long round, long readId) {
        readsByRound.computeIfAbsent(round, key -> new ArrayList<>()).add(readId);
    }

    /** Removes and returns the reads whose heartbeat round a majority has acknowledged. */
    List<Long> takeConfirmedReads(Voters voters, long ownRound) {
        List<Long> confirmed = new ArrayList<>();
        long round = majority(voters, ownRound, Progress::confirmedRound);
        while (!readsByRound.isEmpty() && readsByRound.firstKey() <= round) {
            confirmed.addAll(readsByRound.pollFirstEntry().getValue());
        }
        return confirmed;
    }

    private long majority(Voters voters, long own, ToLongFunction<Progress> valueOf) {
        List<Long> values = voters.getVotersList().stream()
                .map(voter -> voter.equals(self) ? own : valueOf(voter, valueOf))
                .sorted()
                .toList();
        return values.isEmpty() ? 0 : values.get(values.size() - (values.size() / 2 + 1));
    }

    private long valueOf(String voter, ToLongFunction<Progress> valueOf) {
        Progress progress = progressByPeer.get(voter);
        return progress == null ? 0 : valueOf.applyAsLong(progress);
    }
}
