package org.bulrushwheel.logic.raft;

import org.bulrushwheel.model.proto.RaftMessage;

/**
 * Predicates on Raft messages.
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
}
