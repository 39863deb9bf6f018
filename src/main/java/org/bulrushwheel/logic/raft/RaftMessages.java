package org.bulrushwheel.logic.raft;

import java.util.List;

import org.bulrushwheel.model.proto.AppendRequest;
import org.bulrushwheel.model.proto.AppendResponse;
import org.bulrushwheel.model.proto.HardState;
import org.bulrushwheel.model.proto.LogEntry;
import org.bulrushwheel.model.proto.RaftMessage;
import org.bulrushwheel.model.proto.VoteRequest;
import org.bulrushwheel.model.proto.VoteResponse;
import org.bulrushwheel.model.proto.Voters;

/**
 * Predicates on Raft messages, and their construction.
 *
 * <p>Stateless and thread safe.
 */
final class RaftMessages {
    private RaftMessages() {}

    /** Whether the message grants a pre-vote. Its term is a proposed one that no replica has adopted yet. */
    static boolean isPreVoteGrant(RaftMessage message) {
        return message.hasVoteResponse()
                && message.getVoteResponse().getPreVote()
                && message.getVoteResponse().getGranted();
    }

    static VoteRequest voteRequest(boolean preVote, RaftLog log) {
        return VoteRequest.newBuilder()
                .setPreVote(preVote)
                .setLastLogIndex(log.lastIndex())
                .setLastLogTerm(log.lastTerm())
                .build();
    }

    static VoteResponse voteResponse(VoteRequest request, boolean granted) {
        return VoteResponse.newBuilder()
                .setPreVote(request.getPreVote())
                .setGranted(granted)
                .build();
    }

    static AppendRequest.Builder appendRequest(long previousIndex, long previousTerm, List<LogEntry> entries) {
        return AppendRequest.newBuilder()
                .setPreviousIndex(previousIndex)
                .setPreviousTerm(previousTerm)
                .addAllEntries(entries);
    }

    /** Returns the response to a message with a snapshot or with a chunk of one. */
    static AppendResponse.Builder installed(RaftMessage message, long matchIndex) {
        return AppendResponse.newBuilder()
                .setSuccess(true)
                .setMatchIndex(matchIndex)
                .setRound(
                        message.hasSnapshotChunk()
                                ? message.getSnapshotChunk().getRound()
                                : message.getInstallSnapshot().getRound());
    }

    /** Whether a replica that is in this state may vote for the sender of a request. */
    static boolean mayVoteFor(RaftMessage request, String self, HardState hardState, Voters voters) {
        // The candidate may have the entry that promoted this learner, and need its vote to replicate that entry.
        boolean isMember = voters.getVotersList().contains(self)
                || voters.getLearnersList().contains(self);
        if (!isMember) {
            return false;
        }
        if (request.getVoteRequest().getPreVote()) {
            return request.getTerm() > hardState.getTerm();
        }
        boolean voteAvailable =
                hardState.getVotedFor().isEmpty() || hardState.getVotedFor().equals(request.getFrom());
        return request.getTerm() == hardState.getTerm() && voteAvailable;
    }
}
