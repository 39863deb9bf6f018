package org.bulrushwheel.logic.raft;

import java.util.List;

import org.bulrushwheel.model.proto.AppendRequest;
import org.bulrushwheel.model.proto.AppendResponse;
import org.bulrushwheel.model.proto.LogEntry;
import org.bulrushwheel.model.proto.RaftMessage;
import org.bulrushwheel.model.proto.VoteRequest;
import org.bulrushwheel.model.proto.VoteResponse;

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

    /** Returns the response to a message with a snapshot. */
    static AppendResponse.Builder installed(RaftMessage message, long matchIndex) {
        return AppendResponse.newBuilder()
                .setSuccess(true)
                .setMatchIndex(matchIndex)
                .setRound(message.getInstallSnapshot().getRound());
    }
}
