package org.bulrushwheel.logic.raft;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.bulrushwheel.model.proto.Voters;

/**
 * Decides the next single change that brings a replica on a new disk in for the one that its instance held before:
 * first a learner, then the old voter goes, then the learner votes.
 *
 * <p>Stateless and thread safe.
 */
public final class ReplicaReplacement {
    private ReplicaReplacement() {}

    /**
     * Returns the next change, or none when there is nothing to do yet.
     *
     * @param voters the replicas by the log
     * @param joining replica that asked to join
     * @param caughtUp whether its log has all that is committed
     */
    public static Optional<Voters> nextChange(Voters voters, ReplicaId joining, boolean caughtUp) {
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
