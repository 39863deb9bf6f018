package org.bulrushwheel.logic.raft;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.bulrushwheel.model.proto.Voters;

/**
 * Decides the next voter change that replaces an instance's former replica with one on a new disk: the new replica is
 * added as a learner, then the old voter is removed, then the learner is promoted.
 *
 * <p>Stateless and thread safe.
 */
public final class ReplicaReplacement {
    private ReplicaReplacement() {}

    /**
     * Whether a replica must request to join. Its own log does not say so if it was removed as lost while it was down: it
     * is not sent the change, so a voter that hears no leader requests it too.
     */
    public static boolean mustJoin(RaftNode raft, String replica) {
        return !raft.voters().getVotersList().contains(replica) || !raft.hasLeaderContact();
    }

    /** Returns the next change that a leader is to propose for a replica that requests to join, or empty if none is due. */
    public static Optional<Voters> nextChange(RaftNode leader, ReplicaId joining) {
        return nextChange(leader.voters(), joining, leader.hasCaughtUp(joining.toString()));
    }

    /**
     * Returns the next change, or empty if no change is due.
     *
     * @param voters current voters and learners according to the log
     * @param joining replica that requested to join
     * @param caughtUp whether the log of the joining replica contains all committed entries
     */
    private static Optional<Voters> nextChange(Voters voters, ReplicaId joining, boolean caughtUp) {
        String replica = joining.toString();
        if (voters.getVotersList().contains(replica)) {
            return Optional.empty();
        }
        if (!voters.getLearnersList().contains(replica)) {
            return Optional.of(addLearner(voters, joining));
        }
        if (!caughtUp) {
            return Optional.empty();
        }
        Optional<String> predecessor = predecessorOf(voters.getVotersList(), joining);
        if (predecessor.isPresent()) {
            return Optional.of(replaceVoters(voters, without(voters.getVotersList(), predecessor.get())));
        }
        List<String> promoted = Stream.concat(voters.getVotersList().stream(), Stream.of(replica))
                .toList();
        return Optional.of(Voters.newBuilder()
                .addAllVoters(promoted)
                .addAllLearners(without(voters.getLearnersList(), replica))
                .build());
    }

    private static Voters addLearner(Voters voters, ReplicaId joining) {
        List<String> others = voters.getLearnersList().stream()
                .filter(learner -> !ReplicaId.parse(learner).instance().equals(joining.instance()))
                .toList();
        return Voters.newBuilder()
                .addAllVoters(voters.getVotersList())
                .addAllLearners(others)
                .addLearners(joining.toString())
                .build();
    }

    private static Optional<String> predecessorOf(List<String> voters, ReplicaId joining) {
        return voters.stream()
                .filter(voter -> ReplicaId.parse(voter).instance().equals(joining.instance()))
                .findFirst();
    }

    private static Voters replaceVoters(Voters voters, List<String> newVoters) {
        return Voters.newBuilder()
                .addAllVoters(newVoters)
                .addAllLearners(voters.getLearnersList())
                .build();
    }

    private static List<String> without(List<String> names, String name) {
        return names.stream().filter(candidate -> !candidate.equals(name)).toList();
    }
}
