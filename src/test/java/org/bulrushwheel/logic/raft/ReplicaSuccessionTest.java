package org.bulrushwheel.logic.raft;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.bulrushwheel.model.proto.CommandResult.Kind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Instances that are lost for good, one at a time, each succeeded by another one or by itself on a new disk; on virtual time. */
class ReplicaSuccessionTest {
    private static final int SUCCESSIONS = 12;
    private static final long JOIN_INTERVAL_MILLIS = 500;
    // Times of the users: a successor starts this long after the loss, and counts as lost for the time to catch up.
    private static final long SUCCESSOR_AFTER_MILLIS = 1_000;
    private static final long CATCH_UP_MILLIS = 4_000;
    private static final long PAUSE_MILLIS = 3_000;
    private static final long ELECTION_MILLIS = 5_000;

    /**
     * Guards against a quorum that is lost for good: the lost voters stay in the set beside their successors, until the
     * running ones are no majority of it any more.
     *
     * @param losesLeader whether the leader is lost each time; otherwise another voter
     * @param isSameInstance whether a successor has the name of its predecessor
     */
    @ParameterizedTest
    @CsvSource({
        "81, 6, true, false, 0.0",
        "82, 6, true, false, 0.02",
        "83, 6, false, false, 0.0",
        "84, 5, true, false, 0.0",
        "85, 5, false, false, 0.02",
        "86, 4, true, false, 0.0",
        "87, 3, true, false, 0.0",
        "88, 3, true, false, 0.02",
        "89, 3, false, false, 0.0",
        "90, 6, true, true, 0.02",
        "91, 5, true, true, 0.0",
        "92, 3, true, true, 0.02",
    })
    void majorityOutlivesAnyNumberOfSuccessions(
            long seed, int size, boolean losesLeader, boolean isSameInstance, double lossRate) {
        RaftCluster cluster = new RaftCluster(seed, size);
        cluster.maxDelayMillis = 40;
        cluster.lossRate = lossRate;
        maintain(cluster, ELECTION_MILLIS);
        for (int succession = 1; succession <= SUCCESSIONS; succession++) {
            String lost = lose(cluster, losesLeader);
            maintain(cluster, SUCCESSOR_AFTER_MILLIS);
            String successor = isSameInstance ? ReplicaId.parse(lost).instance() : "s" + succession;
            cluster.addReplicaWithEmptyDisk(new ReplicaId(successor, "d" + succession).toString());
            maintain(cluster, CATCH_UP_MILLIS);

            List<String> voters = leader(cluster, succession).node.voters().getVotersList();
            long running = voters.stream().filter(cluster.replicas::containsKey).count();
            assertTrue(
                    running - 1 > voters.size() / 2,
                    "after succession " + succession + " another loss can't be borne: voters " + voters + ", running "
                            + cluster.replicas.keySet());
            maintain(cluster, PAUSE_MILLIS);
        }
        cluster.lossRate = 0;
        maintain(cluster, ELECTION_MILLIS);
        assertTrue(cluster.propose("last", RaftCluster.claim("last", "last")));
        cluster.runFor(ELECTION_MILLIS);
        assertEquals(Kind.KEY_CLAIMED, cluster.results.get("last").getKind());
    }

    /** Guards against a paused voter that stays away after it was taken for lost, or that disturbs the leader on its return. */
    @ParameterizedTest
    @CsvSource({"101, 6, 1500", "102, 6, 5000", "103, 5, 5000", "104, 5, 14000", "105, 4, 5000", "106, 3, 14000"})
    void pausedVoterIsAVoterAgainInTime(long seed, int size, long pauseMillis) {
        RaftCluster cluster = new RaftCluster(seed, size);
        cluster.maxDelayMillis = 40;
        maintain(cluster, ELECTION_MILLIS);
        RaftCluster.Replica leader = cluster.leader().orElseThrow();
        long term = leader.node.term();
        String paused = cluster.replicas.keySet().stream()
                .filter(id -> !id.equals(leader.id))
                .findFirst()
                .orElseThrow();
        cluster.isolated.add(paused);
        maintain(cluster, pauseMillis);
        assertTrue(cluster.propose("during", RaftCluster.claim("during", "during")));
        cluster.isolated.clear();
        maintain(cluster, CATCH_UP_MILLIS);

        assertEquals(cluster.replicas.keySet(), Set.copyOf(leader.node.voters().getVotersList()));
        assertEquals(leader.state.snapshot(), cluster.replicas.get(paused).state.snapshot());
        assertEquals(Optional.of(leader), cluster.leader());
        assertEquals(term, leader.node.term());
    }

    /** Guards against a side of a cut without a majority that takes the other side for lost and acts alone. */
    @ParameterizedTest
    @CsvSource({"111, 6, 3", "112, 4, 2", "113, 5, 3", "114, 3, 2"})
    void minorityRemovesNobody(long seed, int size, int cutOff) {
        RaftCluster cluster = new RaftCluster(seed, size);
        maintain(cluster, ELECTION_MILLIS);
        RaftCluster.Replica leader = cluster.leader().orElseThrow();
        cluster.replicas.keySet().stream()
                .filter(id -> !id.equals(leader.id))
                .limit(cutOff)
                .forEach(cluster.isolated::add);
        cluster.propose("during", RaftCluster.claim("during", "during"));
        maintain(cluster, 3 * ELECTION_MILLIS);

        assertEquals(Optional.empty(), cluster.leader());
        cluster.replicas
                .values()
                .forEach(replica -> assertEquals(size, replica.node.voters().getVotersCount(), replica.id));
        assertEquals(Set.of(), cluster.results.keySet());
    }

    private static RaftCluster.Replica leader(RaftCluster cluster, int succession) {
        return cluster.leader()
                .orElseThrow(() -> new AssertionError(
                        "no leader after succession " + succession + " of " + cluster.replicas.keySet()));
    }

    private static String lose(RaftCluster cluster, boolean losesLeader) {
        Optional<RaftCluster.Replica> leader = cluster.leader();
        RaftCluster.Replica lost = cluster.replicas.values().stream()
                .filter(replica -> leader.equals(Optional.of(replica)) == losesLeader)
                .findFirst()
                .orElseThrow();
        lost.crash();
        cluster.replicas.remove(lost.id);
        return lost.id;
    }

    private static void maintain(RaftCluster cluster, long millis) {
        for (long elapsed = 0; elapsed < millis; elapsed += JOIN_INTERVAL_MILLIS) {
            cluster.runFor(JOIN_INTERVAL_MILLIS);
            cluster.leader().map(leader -> leader.node).ifPresent(leader -> {
                LostVoterRemoval.nextChange(leader).ifPresent(leader::proposeVoters);
                cluster.replicas.values().stream()
                        .filter(replica -> !cluster.isolated.contains(replica.id))
                        .filter(replica -> ReplicaReplacement.mustJoin(replica.node, replica.id))
                        .forEach(replica -> ReplicaReplacement.nextChange(leader, ReplicaId.parse(replica.id))
                                .ifPresent(leader::proposeVoters));
            });
        }
    }
}
