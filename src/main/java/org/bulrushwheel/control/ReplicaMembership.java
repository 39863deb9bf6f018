package org.bulrushwheel.control;

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
 * Who votes: a replica that is no voter asks to join, the leader lets it learn and vote, and takes the vote of one that
 * stays away.
 *
 * <p>Not thread safe: the control thread uses it.
 */
final class ReplicaMembership {
    private static final long JOIN_PAUSE_MILLIS = 500;
    private static final long REMOVAL_PAUSE_MILLIS = 1_000;
    // Longer than any restart; a replica that comes back later joins again with the log that it has.
    private static final long LOST_VOTER_MILLIS = 12_000;

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

    /** Does what is due. */
    void keep(RaftNode raft, String replica) {
        askToJoin(raft, replica);
        removeLostVoter(raft);
    }

    /** Takes another replica's request to join; passes it on to the leader where this replica does not lead. */
    void onJoin(RaftNode raft, JoinRequest request) {
        String joining = request.getReplica();
        if (raft.role() != RaftRole.LEADER) {
            boolean pass = !request.getForwarded();
            raft.leader()
                    .filter(leader -> pass)
                    .ifPresent(leader -> peers.send(
                            ReplicaId.parse(leader).instance(),
                            Frame.newBuilder()
                                    .setJoinRequest(request.toBuilder().setForwarded(true))));
            return;
        }
        boolean caughtUp = raft.isInContact(joining) && raft.matchIndexOf(joining) >= raft.commitIndex();
        ReplicaReplacement.nextChange(raft.voters(), ReplicaId.parse(joining), caughtUp)
                .ifPresent(raft::proposeVoters);
    }

    private void askToJoin(RaftNode raft, String replica) {
        long now = time.monotonicMillis();
        if (raft.voters().getVotersList().contains(replica) || now < nextJoinMillis) {
            return;
        }
        nextJoinMillis = now + JOIN_PAUSE_MILLIS;
        settings.joinTargets().get().stream()
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
        nextRemovalMillis = now + REMOVAL_PAUSE_MILLIS;
        LostVoterRemoval.nextChange(raft.voters(), raft.votersUnresponsiveFor(LOST_VOTER_MILLIS))
                .ifPresent(raft::proposeVoters);
    }
}
