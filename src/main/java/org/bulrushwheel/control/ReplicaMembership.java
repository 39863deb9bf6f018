package org.bulrushwheel.control;

import java.util.stream.Stream;

import org.bulrushwheel.logic.raft.LostVoterRemoval;
import org.bulrushwheel.logic.raft.RaftNode;
import org.bulrushwheel.logic.raft.RaftRole;
import org.bulrushwheel.logic.raft.ReplicaId;
import org.bulrushwheel.logic.raft.ReplicaReplacement;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.proto.Frame;
import org.bulrushwheel.model.proto.JoinRequest;
import org.bulrushwheel.wire.PeerNetwork;

/**
 * Manages the voter set: a replica that is no voter, or may no longer be one, requests to join, and the leader adds it as
 * a learner, promotes it once it has caught up, and removes voters that stay unresponsive.
 *
 * <p>Not thread safe: owned by the control thread.
 */
final class ReplicaMembership {
    private static final long JOIN_INTERVAL_MILLIS = 500;
    private static final long REMOVAL_INTERVAL_MILLIS = 200;

    private final ReplicaSettings settings;
    private final PeerNetwork peers;
    private final TimeSource time;
    private long nextJoinMillis;
    private long nextRemovalMillis;

    ReplicaMembership(ReplicaSettings settings, PeerNetwork peers, TimeSource time) {
        this.settings = settings;
        this.peers = peers;
        this.time = time;
    }

    /** Requests to join and removes lost voters, each at most once per interval. */
    void maintain(RaftNode raft, String replica) {
        requestJoin(raft, replica);
        removeLostVoter(raft);
    }

    /** Handles another replica's request to join; a replica that is not the leader forwards it to the leader once. */
    void onJoinRequest(RaftNode raft, JoinRequest request) {
        if (raft.role() != RaftRole.LEADER) {
            boolean mayForward = !request.getForwarded();
            raft.leader()
                    .filter(leader -> mayForward)
                    .ifPresent(leader -> peers.send(
                            ReplicaId.parse(leader).instance(),
                            Frame.newBuilder()
                                    .setJoinRequest(request.toBuilder().setForwarded(true))));
            return;
        }
        ReplicaReplacement.nextChange(raft, ReplicaId.parse(request.getReplica()))
                .ifPresent(raft::proposeVoters);
    }

    private void requestJoin(RaftNode raft, String replica) {
        long now = time.monotonicMillis();
        if (!ReplicaReplacement.mustJoin(raft, replica) || now < nextJoinMillis) {
            return;
        }
        nextJoinMillis = now + JOIN_INTERVAL_MILLIS;
        Stream<String> voters = raft.voters().getVotersList().stream()
                .map(voter -> ReplicaId.parse(voter).instance());
        Stream.concat(settings.joinTargets().get().stream(), voters)
                .distinct()
                .filter(peer -> !peer.equals(settings.instance()))
                .forEach(peer -> peers.send(
                        peer,
                        Frame.newBuilder()
                                .setJoinRequest(JoinRequest.newBuilder().setReplica(replica))));
    }

    private void removeLostVoter(RaftNode raft) {
        long now = time.monotonicMillis();
        if (raft.role() != RaftRole.LEADER || !settings.removesLostVoters() || now < nextRemovalMillis) {
            return;
        }
        nextRemovalMillis = now + REMOVAL_INTERVAL_MILLIS;
        LostVoterRemoval.nextChange(raft).ifPresent(raft::proposeVoters);
    }
}
