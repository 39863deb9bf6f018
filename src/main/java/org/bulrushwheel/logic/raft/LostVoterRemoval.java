package org.bulrushwheel.logic.raft;

import java.util.List;
import java.util.Optional;

import org.bulrushwheel.model.proto.Voters;

/**
 * Decides whether an unresponsive voter is removed from the voter set, so that the remaining voters tolerate a further
 * failure.
 *
 * <p>Invariants: the voter set never shrinks below three; no voter is removed unless the responsive voters form a majority of
 * the current set; a removal never lowers the number of further losses that are tolerated. Stateless and thread safe.
 */
public final class LostVoterRemoval {
    private static final int MIN_VOTERS = 3;
    // Longer than any restart. A replica that returns later requests to join and reuses its existing log.
    private static final long LOST_VOTER_MILLIS = 12_000;
    // An even set tolerates no more losses than without one of its voters. Shorter than the time to catch up that a
    // successor has, so that voters lost one at a time do not accumulate.
    private static final long LOST_VOTER_OF_EVEN_SET_MILLIS = 2_000;

    private LostVoterRemoval() {}

    /** Returns the next removal that a leader is to propose, or empty when none is allowed. */
    public static Optional<Voters> nextChange(RaftNode leader) {
        Voters voters = leader.voters();
        boolean isEven = voters.getVotersCount() % 2 == 0;
        return nextChange(
                voters, leader.votersUnresponsiveFor(isEven ? LOST_VOTER_OF_EVEN_SET_MILLIS : LOST_VOTER_MILLIS));
    }

    /**
     * Returns the voter set with one unresponsive voter removed, or empty when no removal is allowed.
     *
     * @param voters current voters and learners according to the log
     * @param unresponsive voters that have not responded for longer than the removal timeout, the longest first
     */
    static Optional<Voters> nextChange(Voters voters, List<String> unresponsive) {
        boolean quorumRemains = voters.getVotersCount() - unresponsive.size() > voters.getVotersCount() / 2;
        if (unresponsive.isEmpty() || !quorumRemains || voters.getVotersCount() <= MIN_VOTERS) {
            return Optional.empty();
        }
        return Optional.of(Voters.newBuilder()
                .addAllVoters(voters.getVotersList().stream()
                        .filter(voter -> !voter.equals(unresponsive.get(0)))
                        .toList())
                .addAllLearners(voters.getLearnersList())
                .build());
    }
}
