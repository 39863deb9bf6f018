package org.bulrushwheel.control;

import java.util.List;

import org.bulrushwheel.logic.raft.RaftRole;

/**
 * Status of a control replica.
 *
 * <p>Immutable and thread safe.
 *
 * @param replica identity of the replica
 * @param role role in the replicated log
 * @param term current Raft term
 * @param leader instance of the known leader, or empty if there is none
 * @param commitIndex last committed index
 * @param appliedIndex last applied index
 * @param voters voting replicas
 * @param learners non-voting replicas that are catching up
 * @param hearsLeader whether it is the leader or has recent contact with one
 * @param upToDateUntilMillis monotonic time until which it counts as up to date
 * @param running whether the control thread runs and the storage is open
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
        long upToDateUntilMillis,
        boolean running) {
    /** Status before the first batch. */
    public static final ReplicaStatus STARTING =
            new ReplicaStatus("", RaftRole.FOLLOWER, 0, "", 0, 0, List.of(), List.of(), false, Long.MIN_VALUE, false);

    /** Returns this status as that of a stopped replica. */
    public ReplicaStatus stopped() {
        return new ReplicaStatus(
                replica,
                RaftRole.FOLLOWER,
                term,
                "",
                commitIndex,
                appliedIndex,
                voters,
                learners,
                false,
                Long.MIN_VALUE,
                false);
    }

    /** Whether the replica has applied what the leader had committed a moment ago. */
    public boolean isUpToDate(long nowMillis) {
        return nowMillis < upToDateUntilMillis;
    }
}
