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
import org.bulrushwheel.model.proto.LogEntry;
import org.bulrushwheel.model.proto.Noop;
import org.bulrushwheel.model.proto.RaftMessage;
import org.bulrushwheel.model.proto.SnapshotFile;
import org.bulrushwheel.model.proto.VoteRequest;
import org.bulrushwheel.model.proto.VoteResponse;
import org.bulrushwheel.model.proto.Voters;

/**
 * Raft replica as a pure state machine: the input is messages and ticks, the output is {@link RaftReady}.
 *
 * <p>Invariants: an entry is committed only after a majority of voters has synced it in the leader's term; a vote is
 * synced before it is sent; a replica that is neither voter nor learner never votes; only replicas that are voters in the
 * candidate's or leader's log count towards a quorum. Not thread safe: all calls must come from one thread.
 */
public final class RaftNode {
    private final String self;
    private final RaftTimings timings;
    private final ElectionTimer electionTimer;
    private final RaftLog log;
    private final RaftOutbox outbox = new RaftOutbox();
    private final ReplicationTracker tracker;
    private final SnapshotAssembly snapshotAssembly = new SnapshotAssembly();
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

    /** Whether new entries, commits or a heartbeat round are to be sent; batched into one broadcast per ready. */
    private boolean broadcastPending;

    /**
     * Restores a replica from its stored state.
     *
     * @param self identity of the replica, unique to its disk
     * @param stored state read from storage
     * @param timings heartbeat interval and election timeout
     * @param random source of the election timeout's jitter
     * @param nowMillis current monotonic time
     */
    public RaftNode(String self, StoredState stored, RaftTimings timings, RandomGenerator random, long nowMillis) {
        this.self = self;
        this.tracker = new ReplicationTracker(self);
        this.timings = timings;
        this.electionTimer = new ElectionTimer(timings, random, nowMillis);
        this.nowMillis = nowMillis;
        this.hardState = stored.hardState();
        this.log = new RaftLog(stored.snapshot(), stored.entries());
        this.commitIndex = stored.snapshot().getLastIndex();
        this.deliveredIndex = commitIndex;
        this.persistedIndex = log.lastIndex();
    }

    /** Advances time: sends heartbeats, starts elections, and makes a leader without an active quorum step down. */
    public void tick(long newNowMillis) {
        nowMillis = Math.max(nowMillis, newNowMillis);
        if (role == RaftRole.LEADER) {
            tickLeader();
            return;
        }
        if (electionTimer.isElectionDue(nowMillis) && isVoter(self)) {
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
            rejectStaleLeader(message);
            return;
        }
        switch (message.getKindCase()) {
            case VOTE_RESPONSE -> onVoteResponse(message);
            case APPEND_REQUEST -> onAppendRequest(message);
            case APPEND_RESPONSE -> onAppendResponse(message);
            case INSTALL_SNAPSHOT -> onInstallSnapshot(message);
            case SNAPSHOT_CHUNK -> onSnapshotChunk(message);
            default -> {
                // Ignores message kinds of later releases.
            }
        }
    }

    /**
     * Appends a command on the leader.
     *
     * @return index of the entry, or empty if this replica is not the leader
     */
    public Optional<Long> propose(Command command) {
        if (role != RaftRole.LEADER) {
            return Optional.empty();
        }
        return Optional.of(appendAsLeader(LogEntry.newBuilder().setCommand(command)));
    }

    /**
     * Appends a voter change on the leader. One replica may be added, removed or promoted at a time, and only after the
     * previous change and an entry of the current term have been committed.
     *
     * @return index of the entry, or empty if the change is not allowed now
     */
    public Optional<Long> proposeVoters(Voters voters) {
        boolean settled = log.lastVotersIndex() <= commitIndex;
        if (role != RaftRole.LEADER
                || !settled
                || !hasCommittedInTerm()
                || !VoterChanges.isSingle(log.voters(), voters)) {
            return Optional.empty();
        }
        return Optional.of(appendAsLeader(LogEntry.newBuilder().setVoters(voters)));
    }

    /**
     * Starts a linearizable read; {@link RaftReady#confirmedReads()} has its id once a quorum confirms the leadership.
     * Returns false if this replica is not the leader or has not committed an entry of its term yet.
     */
    public boolean requestRead(long readId) {
        if (role != RaftRole.LEADER || !hasCommittedInTerm()) {
            return false;
        }
        round++;
        tracker.addPendingRead(round, readId);
        broadcastPending = true;
        confirmReads();
        return true;
    }

    /** Returns and clears the work that has accumulated since the last call. */
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

    /** Reports that everything in this ready has been synced to disk. */
    public void persisted(RaftReady ready) {
        if (!ready.entries().isEmpty()) {
            long last = ready.entries().get(ready.entries().size() - 1).getIndex();
            persistedIndex = Math.min(last, log.lastIndex());
        }
        if (role == RaftRole.LEADER) {
            advanceCommit();
        }
    }

    /** Discards entries that the snapshot covers. Retains the last few, so that slow followers need no snapshot. */
    public void compact(SnapshotFile snapshot, long retainedEntries) {
        log.compact(
                snapshot, Math.min(snapshot.getLastIndex(), Math.max(0, snapshot.getLastIndex() - retainedEntries)));
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

    /** Voters and learners according to the latest change in the log, committed or not. */
    public Voters voters() {
        return log.voters();
    }

    /** Voters and learners in effect at an applied index, for a snapshot. */
    public Voters votersAt(long index) {
        return log.votersAt(index);
    }

    /** Entries after an index that is not compacted. */
    public List<LogEntry> entriesAfter(long index) {
        return log.from(index + 1, Integer.MAX_VALUE, Long.MAX_VALUE);
    }

    /** Term of an entry that is not compacted, or 0. */
    public long termAt(long index) {
        return log.termAt(index).orElse(0L);
    }

    /** Whether the peer responded to this leader within the last election timeout, and has all committed entries. */
    public boolean hasCaughtUp(String peer) {
        return tracker.wasActiveWithin(peer, timings.electionTimeoutMillis(), nowMillis)
                && tracker.matchIndexOf(peer) >= commitIndex;
    }

    /** Whether this replica is the leader, or received a message from one within the last election timeout. */
    public boolean hasLeaderContact() {
        return role == RaftRole.LEADER || (leader.isPresent() && electionTimer.hasRecentLeaderContact(nowMillis));
    }

    /**
     * Returns the monotonic time until which this replica counts as up to date. A follower that hears its leader without
     * keeping up with it is not.
     */
    public long upToDateUntilMillis() {
        if (role == RaftRole.LEADER) {
            return hasCommittedInTerm() ? nowMillis + timings.electionTimeoutMillis() : Long.MIN_VALUE;
        }
        return electionTimer.caughtUpUntilMillis();
    }

    private boolean hasCommittedInTerm() {
        return log.termAt(commitIndex).orElse(0L) == hardState.getTerm();
    }

    /** Voters that have not responded to this leader for the given time, the longest unresponsive first. */
    public List<String> votersUnresponsiveFor(long millis) {
        return tracker.inactiveVoters(log.voters(), millis, nowMillis);
    }

    private void tickLeader() {
        boolean gracePeriodElapsed = nowMillis - leaderSinceMillis >= timings.electionTimeoutMillis();
        long activeVoters = tracker.countActiveVoters(log.voters(), timings.electionTimeoutMillis(), nowMillis);
        if (gracePeriodElapsed && activeVoters < quorum()) {
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
        electionTimer.restart(nowMillis);
        long term = hardState.getTerm() + 1;
        if (!preVote) {
            storeHardState(term, self);
        }
        if (votes.size() >= quorum()) {
            winElection(preVote);
            return;
        }
        VoteRequest request = RaftMessages.voteRequest(preVote, log);
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
        boolean leaderAlive = electionTimer.hasRecentLeaderContact(nowMillis) || role == RaftRole.LEADER;
        if (leaderAlive && !leader.equals(Optional.of(message.getFrom())) && leader.isPresent()) {
            return;
        }
        if (!request.getPreVote() && message.getTerm() > hardState.getTerm()) {
            becomeFollower(message.getTerm(), Optional.empty());
        }
        boolean upToDate = log.isCandidateUpToDate(request.getLastLogTerm(), request.getLastLogIndex());
        boolean granted = upToDate && RaftMessages.mayVoteFor(message, self, hardState, log.voters());
        if (granted && !request.getPreVote()) {
            storeHardState(message.getTerm(), message.getFrom());
            electionTimer.restart(nowMillis);
        }
        long responseTerm = granted ? message.getTerm() : hardState.getTerm();
        VoteResponse response = RaftMessages.voteResponse(request, granted);
        outbox.send(message(message.getFrom(), responseTerm)
                .setVoteResponse(response)
                .build());
    }

    private void onVoteResponse(RaftMessage message) {
        VoteResponse response = message.getVoteResponse();
        RaftRole expectedRole = response.getPreVote() ? RaftRole.PRE_CANDIDATE : RaftRole.CANDIDATE;
        long electionTerm = response.getPreVote() ? hardState.getTerm() + 1 : hardState.getTerm();
        if (role != expectedRole || !response.getGranted() || message.getTerm() != electionTerm) {
            return;
        }
        if (isVoter(message.getFrom())) {
            votes.add(message.getFrom());
        }
        if (votes.size() >= quorum()) {
            winElection(response.getPreVote());
        }
    }

    private void rejectStaleLeader(RaftMessage message) {
        if (message.hasAppendRequest() || message.hasInstallSnapshot() || message.hasSnapshotChunk()) {
            sendResponse(message.getFrom(), AppendResponse.newBuilder().setSuccess(false));
        }
    }

    private void onAppendRequest(RaftMessage message) {
        recordLeaderContact(message.getFrom());
        AppendRequest request = message.getAppendRequest();
        AppendResponse.Builder response = AppendResponse.newBuilder().setRound(request.getRound());
        long previous = request.getPreviousIndex();
        if (previous < commitIndex) {
            // Entries up to the commit index already match; the leader continues from there.
            response.setSuccess(true).setMatchIndex(commitIndex);
        } else if (!log.contains(previous, request.getPreviousTerm())) {
            response.setSuccess(false).setMatchIndex(Math.min(commitIndex, previous - 1));
        } else {
            snapshotAssembly.discard();
            appendAsFollower(request.getEntriesList());
            long last = previous + request.getEntriesCount();
            commitIndex = Math.max(commitIndex, Math.min(request.getCommitIndex(), last));
            response.setSuccess(true).setMatchIndex(last);
        }
        if (response.getSuccess() && commitIndex >= request.getCommitIndex()) {
            electionTimer.recordCaughtUp(nowMillis);
        }
        sendResponse(message.getFrom(), response);
    }

    private void sendResponse(String to, AppendResponse.Builder response) {
        outbox.send(message(to, hardState.getTerm()).setAppendResponse(response).build());
    }

    private void appendAsFollower(List<LogEntry> entries) {
        for (LogEntry entry : entries) {
            Optional<Long> existingTerm = log.termAt(entry.getIndex());
            if (existingTerm.isPresent() && existingTerm.get() == entry.getTerm()) {
                continue;
            }
            if (existingTerm.isPresent()) {
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
        recordLeaderContact(message.getFrom());
        install(message.getInstallSnapshot().getSnapshot());
        sendResponse(message.getFrom(), RaftMessages.installed(message, commitIndex));
    }

    private void onSnapshotChunk(RaftMessage message) {
        recordLeaderContact(message.getFrom());
        long lastIndex = message.getSnapshotChunk().getSnapshot().getLastIndex();
        if (lastIndex > commitIndex) {
            snapshotAssembly.add(message).ifPresent(this::install);
        }
        AppendResponse.Builder response = RaftMessages.installed(message, commitIndex);
        if (lastIndex > commitIndex) {
            response.setSnapshotBytes(snapshotAssembly.receivedBytes());
        }
        sendResponse(message.getFrom(), response);
    }

    private void install(SnapshotFile snapshot) {
        if (log.contains(snapshot.getLastIndex(), snapshot.getLastTerm())) {
            // The entries behind it may have been acknowledged, and are never sent again.
            commitIndex = Math.max(commitIndex, snapshot.getLastIndex());
        } else if (snapshot.getLastIndex() > commitIndex) {
            log.reset(snapshot);
            commitIndex = snapshot.getLastIndex();
            deliveredIndex = commitIndex;
            persistedIndex = commitIndex;
            outbox.install(snapshot);
        }
    }

    private void onAppendResponse(RaftMessage message) {
        if (role != RaftRole.LEADER) {
            return;
        }
        Progress progress = progressOf(message.getFrom());
        AppendResponse response = message.getAppendResponse();
        progress.recordContact(nowMillis, response.getRound());
        if (response.hasSnapshotBytes()) {
            progress.snapshotTransfer().recordReceived(response.getSnapshotBytes());
        }
        if (response.getSuccess()) {
            progress.recordMatch(response.getMatchIndex());
            advanceCommit();
        } else {
            progress.recordRejection(response.getMatchIndex(), response.getRound(), round);
        }
        confirmReads();
        if (progress.nextIndex() <= log.lastIndex() && progress.hasWindow() && !broadcastPending) {
            sendAppend(message.getFrom());
        }
    }

    private long appendAsLeader(LogEntry.Builder entry) {
        LogEntry complete = log.appendNext(entry, hardState.getTerm());
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
        List<LogEntry> entries = progress.entriesToSend(log);
        outbox.send(message(peer, hardState.getTerm())
                .setAppendRequest(RaftMessages.appendRequest(previous, previousTerm.get(), entries)
                        .setCommitIndex(commitIndex)
                        .setRound(round))
                .build());
        progress.recordSent(entries);
    }

    private void sendSnapshot(String peer, Progress progress) {
        SnapshotTransfer transfer = progress.snapshotTransfer();
        if (transfer.tryStart(log.snapshot(), nowMillis, timings.electionTimeoutMillis())) {
            outbox.send(
                    transfer.addTo(message(peer, hardState.getTerm()), round).build());
        }
    }

    private void advanceCommit() {
        long candidate = tracker.majorityMatch(log.voters(), persistedIndex);
        if (candidate > commitIndex && log.termAt(candidate).orElse(0L) == hardState.getTerm()) {
            commitIndex = candidate;
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

    private void recordLeaderContact(String from) {
        if (role != RaftRole.FOLLOWER) {
            becomeFollower(hardState.getTerm(), Optional.of(from));
        }
        leader = Optional.of(from);
        electionTimer.recordLeaderContact(nowMillis);
    }

    private void becomeFollower(long term, Optional<String> newLeader) {
        role = RaftRole.FOLLOWER;
        leader = newLeader;
        votes.clear();
        tracker.discardPendingReads();
        if (term > hardState.getTerm()) {
            storeHardState(term, "");
        }
        electionTimer.restart(nowMillis);
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
