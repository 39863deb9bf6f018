package org.bulrushwheel.control;

import java.util.List;

import org.bulrushwheel.logic.raft.RaftRole;

/**
 * What a replica tells of itself.
 *
 * <p>Immutable and thread safe.
 *
 * @param replica identity
 * @param role role in the replicated log
 * @param term term
 * @param leader instance that leads as far as it knows, empty for none
 * @param commitIndex last committed index
 * @param appliedIndex last applied index
 * @param voters voting replicas
 * @param learners replicas that catch up
 * @param hearsLeader whether it leads or hears a leader
 * @param running whether its thread runs
 */
public record ReplicaStatus(
        String replica,
        RaftRole role,
        long term,
        String leader,
        long commitIndex,
        long appliedIndex,
        List<String> voters,
        List<String> learners,
        boolean hearsLeader,
        boolean running) {
    /** Before the first batch. */
    public static final ReplicaStatus STARTING =
            new ReplicaStatus("", RaftRole.FOLLOWER, 0, "", 0, 0, List.of(), List.of(), false, false);

    /** Returns the same status of a replica that no longer runs. */
    public ReplicaStatus stopped() {
        return new ReplicaStatus(
                replica, RaftRole.FOLLOWER, term, "", commitIndex, appliedIndex, voters, learners, false, false);
    }
}
