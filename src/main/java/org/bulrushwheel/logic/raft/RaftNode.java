package org.bulrushwheel.logic.raft;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

import org.bulrushwheel.model.proto.AppendRequest;
import org.bulrushwheel.model.proto.AppendResponse;
import org.bulrushwheel.model.proto.Command;
import org.bulrushwheel.model.proto.HardState;
import org.bulrushwheel.model.proto.InstallSnapshot;
import org.bulrushwheel.model.proto.LogEntry;
import org.bulrushwheel.model.proto.Noop;
import org.bulrushwheel.model.proto.RaftMessage;
import org.bulrushwheel.model.proto.SnapshotFile;
import org.bulrushwheel.model.proto.VoteRequest;
import org.bulrushwheel.model.proto.VoteResponse;
import org.bulrushwheel.model.proto.Voters;

/**
 * One replica of the log as a pure state machine: messages and ticks go in, {@link RaftReady} comes out.
 *
 * <p>Invariants: an entry is committed only when a majority of voters has synced it in the leader's term; a vote is
 * synced before it is sent; a replica that is no voter never votes and is never counted. Not thread safe: one thread
 * drives it.
 */
public final class RaftNode {
    private static final int MAX_ENTRIES_PER_MESSAGE = 256;

    private final String self;
    private final RaftTimings timings;
    private final ElectionClock clock;
    private final RaftLog log;
    private final RaftOutbox outbox = new RaftOutbox();
    private final ReplicationTracker tracker;
    private final Set<String> votes = new HashSet<>();

    private RaftRole role = RaftRole.FOLLOWER;
    private HardState hardState;
    private Optional<String> leader = Optional.empty();
    private long nowMillis;
    private long nextHeartbeatMillis;
    private long leaderSinceMillis;
    private long commitIndex;
    private long deliveredIndex;
    private long persistedIndex;
    private long round;

    /** Whether peers are to be told of entries, commits or a round; once for all that came up since the last ready. */
    private boolean broadcastPending;

    /**
     * Restores a replica from what it had stored.
     *
     * @param self identity of the replica, unique to its disk
     * @param stored state from storage
     * @param timings times
     * @param random source of election jitter
     * @param nowMillis monotonic time
     */
    public RaftNode(String self, StoredState stored, RaftTimings timings, RandomGenerator random, long nowMillis) {
        this.self = self;
        this.tracker = new ReplicationTracker(self);
        this.timings = timings;
        this.clock = new ElectionClock(timings, random, nowMillis);
        this.nowMillis = nowMillis;
        this.hardState = stored.hardState();
        this.log = new RaftLog(stored.snapshot(), stored.entries());
        this.commitIndex = stored.snapshot().getLastIndex();
        this.deliveredIndex = commitIndex;
        this.persistedIndex = log.lastIndex();
    }

    /** Moves time on: heartbeats, elections, and a leader's check that a majority still hears it. */
    public void tick(long newNowMillis) {
        nowMillis = Math.max(nowMillis, newNowMillis);
        if (role == RaftRole.LEADER) {
            tickLeader();
            return;
        }
        if (clock.isElectionDue(nowMillis) && isVoter(self)) {
            startElection(true);
        }
    }

    /** Handles a message from another replica. */
    public void step(RaftMessage message) {
        if (!message.getTo().equals(self)) {
            return;
        }
        if (message.hasVoteRequest()) {
            onVoteRequest(message);
            return;
        }
        if (message.getTerm() > hardState.getTerm() && !RaftMessages.isPreVoteGrant(message)) {
            becomeFollower(message.getTerm(), Optional.empty());
        }
        if (message.getTerm() < hardState.getTerm()) {
            answerStaleLeader(message);
            return;
        }
        switch (message.getKindCase()) {
            case VOTE_RESPONSE -> onVoteResponse(message);
            case APPEND_REQUEST -> onAppendRequest(message);
            case APPEND_RESPONSE -> onAppendResponse(message);
            case INSTALL_SNAPSHOT -> onInstallSnapshot(message);
            default -> {
                // A kind of a later release: this replica cannot act on it.
            }
        }
    }

    /**
     * Appends a command on the leader.
     *
     * @return index of the entry, or none on a replica that does not lead
     */
    public Optional<Long> propose(Command command) {
        if (role != RaftRole.LEADER) {
            return Optional.empty();
        }
        return Optional.of(appendAsLeader(LogEntry.newBuilder().setCommand(command)));
    }

    /**
     * Appends a change of the voters on the leader: one replica added, removed or promoted at a time, and only when
     * the change before it and an entry of this term are committed.
     *
     * @return index of the entry, or none when the change is not allowed now
     */
    public Optional<Long> proposeVoters(Voters voters) {
        boolean settled = log.lastVotersIndex() <= commitIndex;
        boolean termCommitted = log.termAt(commitIndex).orElse(0L) == hardState.getTerm();
        if (role != RaftRole.LEADER || !settled || !termCommitted || !VoterChanges.isSingle(log.voters(), voters)) {
            return Optional.empty();
        }
        return Optional.of(appendAsLeader(LogEntry.newBuilder().setVoters(voters)));
    }

    /** Asks to confirm that this replica still leads; the id comes back in {@link RaftReady#confirmedReads()}. */
    public boolean requestRead(long readId) {
        if (role != RaftRole.LEADER || log.termAt(commitIndex).orElse(0L) != hardState.getTerm()) {
            return false;
        }
        round++;
        tracker.awaitRound(round, readId);
        broadcastPending = true;
        confirmReads();
        return true;
    }

    /** Takes the work that has come up since the last call. */
    public RaftReady takeReady() {
        if (role == RaftRole.LEADER && broadcastPending) {
            broadcastAppend();
        }
        broadcastPending = false;
        List<LogEntry> committed = new ArrayList<>();
        long deliverable = Math.min(commitIndex, Math.max(persistedIndex, deliveredIndex));
        while (deliveredIndex < deliverable) {
            deliveredIndex++;
            committed.add(log.at(deliveredIndex));
        }
        return outbox.take(committed);
    }

    /** Says that everything of this ready is synced. */
    public void persisted(RaftReady ready) {
        if (!ready.entries().isEmpty()) {
            long last = ready.entries().get(ready.entries().size() - 1).getIndex();
            persistedIndex = Math.min(last, log.lastIndex());
        }
        if (role == RaftRole.LEADER) {
            advanceCommit();
        }
    }

    /** Drops entries that the snapshot covers, but for the last few, which spare slow followers a snapshot. */
    public void compact(SnapshotFile snapshot, long entriesKept) {
        log.compact(snapshot, Math.min(snapshot.getLastIndex(), Math.max(0, snapshot.getLastIndex() - entriesKept)));
    }

    public RaftRole role() {
        return role;
    }

    public Optional<String> leader() {
        return leader;
    }

    public long term() {
        return hardState.getTerm();
    }

    public long commitIndex() {
        return commitIndex;
    }

    public long lastIndex() {
        return log.lastIndex();
    }

    /** Voters and learners by the last change in the log. */
    public Voters voters() {
        return log.voters();
    }

    /** Voters and learners in force at an applied index, for a snapshot. */
    public Voters votersAt(long index) {
        return log.votersAt(index);
    }

    /** Entries behind an index that is not compacted. */
    public List<LogEntry> entriesAfter(long index) {
        return log.from(index + 1, Integer.MAX_VALUE - 1);
    }

    /** Term of an entry that is not compacted, or 0. */
    public long termAt(long index) {
        return log.termAt(index).orElse(0L);
    }

    /** How far a peer's log is known to match this leader's. */
    public long matchIndexOf(String peer) {
        return tracker.matchIndexOf(peer);
    }

    /** Whether the peer answered this leader within an election time. */
    public boolean isInContact(String peer) {
        return tracker.wasHeardWithin(peer, timings.electionMillis(), nowMillis);
    }

    /** Whether this replica leads, or heard a leader within an election time. */
    public boolean hearsLeader() {
        return role == RaftRole.LEADER || (leader.isPresent() && clock.hasHeardLeader(nowMillis));
    }

    /** Voters that have not answered this leader for that long. */
    public List<String> votersSilentFor(long millis) {
        return log.voters().getVotersList().stream()
                .filter(voter -> !voter.equals(self) && !tracker.wasHeardWithin(voter, millis, nowMillis))
                .toList();
    }

    private void tickLeader() {
        boolean pastGrace = nowMillis - leaderSinceMillis >= timings.electionMillis();
        long heard = tracker.heardVoters(log.voters(), timings.electionMillis(), nowMillis);
        if (pastGrace && heard < quorum()) {
            becomeFollower(hardState.getTerm(), Optional.empty());
            return;
        }
        if (nowMillis >= nextHeartbeatMillis) {
            nextHeartbeatMillis = nowMillis + timings.heartbeatMillis();
            round++;
            broadcastPending = true;
        }
    }

    private void startElection(boolean preVote) {
        role = preVote ? RaftRole.PRE_CANDIDATE : RaftRole.CANDIDATE;
        leader = Optional.empty();
        votes.clear();
        votes.add(self);
        clock.restart(nowMillis);
        long term = hardState.getTerm() + 1;
        if (!preVote) {
            storeHardState(term, self);
        }
        if (votes.size() >= quorum()) {
            winElection(preVote);
            return;
        }
        VoteRequest request = VoteRequest.newBuilder()
                .setPreVote(preVote)
                .setLastLogIndex(log.lastIndex())
                .setLastLogTerm(log.lastTerm())
                .build();
        for (String voter : log.voters().getVotersList()) {
            if (!voter.equals(self)) {
                outbox.send(message(voter, term).setVoteRequest(request).build());
            }
        }
    }

    private void winElection(boolean preVote) {
        if (preVote) {
            startElection(false);
            return;
        }
        role = RaftRole.LEADER;
        leader = Optional.of(self);
        leaderSinceMillis = nowMillis;
        tracker.clear();
        nextHeartbeatMillis = nowMillis + timings.heartbeatMillis();
        appendAsLeader(LogEntry.newBuilder().setCommand(Command.newBuilder().setNoop(Noop.getDefaultInstance())));
    }

    private void onVoteRequest(RaftMessage message) {
        VoteRequest request = message.getVoteRequest();
        boolean leaderAlive = clock.hasHeardLeader(nowMillis) || role == RaftRole.LEADER;
        if (leaderAlive && !leader.equals(Optional.of(message.getFrom())) && leader.isPresent()) {
            return;
        }
        if (!request.getPreVote() && message.getTerm() > hardState.getTerm()) {
            becomeFollower(message.getTerm(), Optional.empty());
        }
        boolean upToDate = log.isCoveredBy(request.getLastLogTerm(), request.getLastLogIndex());
        boolean granted = upToDate && mayVoteFor(message, request.getPreVote());
        if (granted && !request.getPreVote()) {
            storeHardState(message.getTerm(), message.getFrom());
            clock.restart(nowMillis);
        }
        long answerTerm = granted ? message.getTerm() : hardState.getTerm();
        outbox.send(message(message.getFrom(), answerTerm)
                .setVoteResponse(VoteResponse.newBuilder()
                        .setPreVote(request.getPreVote())
                        .setGranted(granted))
                .build());
    }

    private boolean mayVoteFor(RaftMessage message, boolean preVote) {
        if (!isVoter(self)) {
            return false;
        }
        if (preVote) {
            return message.getTerm() > hardState.getTerm();
        }
        boolean free =
                hardState.getVotedFor().isEmpty() || hardState.getVotedFor().equals(message.getFrom());
        return message.getTerm() == hardState.getTerm() && free;
    }

    private void onVoteResponse(RaftMessage message) {
        VoteResponse response = message.getVoteResponse();
        RaftRole wanted = response.getPreVote() ? RaftRole.PRE_CANDIDATE : RaftRole.CANDIDATE;
        long electionTerm = response.getPreVote() ? hardState.getTerm() + 1 : hardState.getTerm();
        if (role != wanted || !response.getGranted() || message.getTerm() != electionTerm) {
            return;
        }
        if (isVoter(message.getFrom())) {
            votes.add(message.getFrom());
        }
        if (votes.size() >= quorum()) {
            winElection(response.getPreVote());
        }
    }

    private void answerStaleLeader(RaftMessage message) {
        if (message.hasAppendRequest() || message.hasInstallSnapshot()) {
            outbox.send(message(message.getFrom(), hardState.getTerm())
                    .setAppendResponse(AppendResponse.newBuilder().setSuccess(false))
                    .build());
        }
    }

    private void onAppendRequest(RaftMessage message) {
        heardLeader(message.getFrom());
        AppendRequest request = message.getAppendRequest();
        AppendResponse.Builder response = AppendResponse.newBuilder().setRound(request.getRound());
        long previous = request.getPreviousIndex();
        if (previous < commitIndex) {
            // Everything up to the commit index matches already; the leader goes on from there.
            response.setSuccess(true).setMatchIndex(commitIndex);
        } else if (log.termAt(previous)
                .filter(term -> term == request.getPreviousTerm())
                .isEmpty()) {
            response.setSuccess(false).setMatchIndex(Math.min(commitIndex, previous - 1));
        } else {
            appendAsFollower(request.getEntriesList());
            long last = previous + request.getEntriesCount();
            commitTo(Math.min(request.getCommitIndex(), last));
            response.setSuccess(true).setMatchIndex(last);
        }
        outbox.send(message(message.getFrom(), hardState.getTerm())
                .setAppendResponse(response)
                .build());
    }

    private void appendAsFollower(List<LogEntry> entries) {
        for (LogEntry entry : entries) {
            Optional<Long> termThere = log.termAt(entry.getIndex());
            if (termThere.isPresent() && termThere.get() == entry.getTerm()) {
                continue;
            }
            if (termThere.isPresent()) {
                truncate(entry.getIndex() - 1);
            }
            log.append(entry);
            outbox.store(entry);
        }
    }

    private void truncate(long lastKept) {
        log.truncateAfter(lastKept);
        persistedIndex = Math.min(persistedIndex, lastKept);
        outbox.truncateAfter(lastKept);
    }

    private void onInstallSnapshot(RaftMessage message) {
        heardLeader(message.getFrom());
        SnapshotFile snapshot = message.getInstallSnapshot().getSnapshot();
        if (snapshot.getLastIndex() > commitIndex) {
            log.reset(snapshot);
            commitIndex = snapshot.getLastIndex();
            deliveredIndex = commitIndex;
            persistedIndex = commitIndex;
            outbox.install(snapshot);
        }
        outbox.send(message(message.getFrom(), hardState.getTerm())
                .setAppendResponse(AppendResponse.newBuilder()
                        .setSuccess(true)
                        .setMatchIndex(commitIndex)
                        .setRound(message.getInstallSnapshot().getRound()))
                .build());
    }

    private void onAppendResponse(RaftMessage message) {
        if (role != RaftRole.LEADER) {
            return;
        }
        Progress progress = progressOf(message.getFrom());
        AppendResponse response = message.getAppendResponse();
        progress.contacted(nowMillis, response.getRound());
        if (response.getSuccess()) {
            progress.matched(response.getMatchIndex());
            advanceCommit();
        } else {
            progress.rejected(response.getMatchIndex());
        }
        confirmReads();
        if (progress.nextIndex() <= log.lastIndex() && !broadcastPending) {
            sendAppend(message.getFrom());
        }
    }

    private long appendAsLeader(LogEntry.Builder entry) {
        LogEntry complete =
                entry.setTerm(hardState.getTerm()).setIndex(log.lastIndex() + 1).build();
        log.append(complete);
        outbox.store(complete);
        broadcastPending = true;
        return complete.getIndex();
    }

    private void broadcastAppend() {
        Voters voters = log.voters();
        Stream.concat(voters.getVotersList().stream(), voters.getLearnersList().stream())
                .filter(peer -> !peer.equals(self))
                .forEach(this::sendAppend);
    }

    private void sendAppend(String peer) {
        Progress progress = progressOf(peer);
        long previous = progress.nextIndex() - 1;
        Optional<Long> previousTerm = log.termAt(previous);
        if (previousTerm.isEmpty()) {
            sendSnapshot(peer, progress);
            return;
        }
        List<LogEntry> entries = log.from(progress.nextIndex(), MAX_ENTRIES_PER_MESSAGE);
        outbox.send(message(peer, hardState.getTerm())
                .setAppendRequest(AppendRequest.newBuilder()
                        .setPreviousIndex(previous)
                        .setPreviousTerm(previousTerm.get())
                        .setCommitIndex(commitIndex)
                        .addAllEntries(entries)
                        .setRound(round))
                .build());
        progress.sentUpTo(previous + entries.size());
    }

    private void sendSnapshot(String peer, Progress progress) {
        if (!progress.maySendSnapshot(nowMillis, timings.electionMillis())) {
            return;
        }
        outbox.send(message(peer, hardState.getTerm())
                .setInstallSnapshot(
                        InstallSnapshot.newBuilder().setSnapshot(log.snapshot()).setRound(round))
                .build());
    }

    private void advanceCommit() {
        long candidate = tracker.majorityMatch(log.voters(), persistedIndex);
        if (candidate > commitIndex && log.termAt(candidate).orElse(0L) == hardState.getTerm()) {
            commitTo(candidate);
            if (!isVoter(self)) {
                becomeFollower(hardState.getTerm(), Optional.empty());
                return;
            }
            broadcastPending = true;
        }
    }

    private void confirmReads() {
        outbox.confirm(tracker.takeConfirmedReads(log.voters(), round));
    }

    private void commitTo(long index) {
        commitIndex = Math.max(commitIndex, Math.min(index, log.lastIndex()));
    }

    private void heardLeader(String from) {
        if (role != RaftRole.FOLLOWER) {
            becomeFollower(hardState.getTerm(), Optional.of(from));
        }
        leader = Optional.of(from);
        clock.heardLeader(nowMillis);
    }

    private void becomeFollower(long term, Optional<String> newLeader) {
        role = RaftRole.FOLLOWER;
        leader = newLeader;
        votes.clear();
        tracker.dropReads();
        if (term > hardState.getTerm()) {
            storeHardState(term, "");
        }
        clock.restart(nowMillis);
    }

    private void storeHardState(long term, String votedFor) {
        hardState = HardState.newBuilder().setTerm(term).setVotedFor(votedFor).build();
        outbox.store(hardState);
    }

    private boolean isVoter(String replica) {
        return log.voters().getVotersList().contains(replica);
    }

    private int quorum() {
        return log.voters().getVotersCount() / 2 + 1;
    }

    private Progress progressOf(String peer) {
        return tracker.progressOf(peer, log.lastIndex(), nowMillis);
    }

    private RaftMessage.Builder message(String to, long term) {
        return RaftMessage.newBuilder().setFrom(self).setTo(to).setTerm(term);
    }
}
