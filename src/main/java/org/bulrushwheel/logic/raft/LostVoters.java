package org.bulrushwheel.logic.raft;

import java.util.List;
import java.util.Optional;

import org.bulrushwheel.model.proto.Voters;

/**
 * Decides whether a voter that stays away is to lose its vote, so that the replicas that are left bear the next loss.
 *
 * <p>Invariant: never fewer than three voters, and never while the rest could not bear a loss of their own. Stateless
 * and thread safe.
 */
public final class LostVoters {
    private static final int LEAST_VOTERS = 3;

    private LostVoters() {}

    /**
     * Returns the next single change, or none.
     *
     * @param voters the replicas by the log
     * @param silent voters that have been away for long
     */
    public static Optional<Voters> nextChange(Voters voters, List<String> silent) {
        boolean enoughLeft = voters.getVotersCount() - silent.size() > voters.getVotersCount() / 2;
        if (silent.isEmpty() || !enoughLeft || voters.getVotersCount() <= LEAST_VOTERS) {
            return Optional.empty();
        }
        return Optional.of(Voters.newBuilder()
                .addAllVoters(voters.getVotersList().stream()
                        .filter(voter -> !voter.equals(silent.get(0)))
                        .toList())
                .addAllLearners(voters.getLearnersList())
                .build());
    }
}
