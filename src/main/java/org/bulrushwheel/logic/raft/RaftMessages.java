package org.bulrushwheel.logic.raft;

import org.bulrushwheel.model.proto.RaftMessage;

/**
 * Questions about messages.
 *
 * <p>Stateless and thread safe.
 */
final class RaftMessages {
    private RaftMessages() {}

    /** Whether a pre-vote is granted; its term is one that no replica has taken yet. */
    static boolean isPreVoteGrant(RaftMessage message) {
        return message.hasVoteResponse()
                && message.getVoteResponse().getPreVote()
                && message.getVoteResponse().getGranted();
    }
}
