package org.bulrushwheel.logic.raft;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

import org.bulrushwheel.model.proto.CommandResult.Kind;
import org.bulrushwheel.model.proto.LogEntry;
import org.bulrushwheel.model.proto.Voters;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Removals, joins, restarts, lost disks, successors and partitions in random order, on virtual time. A long run is started with
 * {@code -Dmembership.seeds=N}.
 */
class ReplicaMembershipFuzzTest {
    private static final int REPLICAS = 5;
    private static final long STEP_MILLIS = 200;
    private static final int STEPS = 600;
    // The lost are removed and come back within this time after the last fault.
    private static final long RECOVERY_MILLIS = 30_000;

    private long incarnation = 1;

    static LongStream seeds() {
        return LongStream.rangeClosed(1, Long.getLong("membership.seeds", 20));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void votersChangeOneByOneAndAllReplicasAreVotersInTheEnd(long seed) {
        RaftCluster cluster = new RaftCluster(seed, REPLICAS);
        cluster.maxDelayMillis = seed % 3 == 0 ? 300 : 40;
        cluster.duplicationRate = 0.05;
        List<String> claims = new ArrayList<>();
        for (int step = 0; step < STEPS; step++) {
            cluster.lossRate = step / 50 % 3 == 0 ? 0.1 : 0;
            injectFault(cluster);
            String claim = "claim-" + step;
            if (cluster.propose(claim, RaftCluster.claim("key-" + step / 3, claim))) {
                claims.add(claim);
            }
            maintain(cluster);
        }
        recover(cluster);

        assertTrue(cluster.propose("last", RaftCluster.claim("last", "last")));
        cluster.runFor(3_000);
        assertEquals(Kind.KEY_CLAIMED, cluster.results.get("last").getKind());
        RaftCluster.Replica leader = cluster.leader().orElseThrow();
        assertEquals(
                cluster.replicas.keySet(),
                Set.copyOf(leader.node.voters().getVotersList()),
                "voters after " + RECOVERY_MILLIS + " ms without faults");
        cluster.replicas
                .values()
                .forEach(replica -> assertEquals(leader.state.snapshot(), replica.state.snapshot(), replica.id));
        assertVotersChangedOneByOne(cluster);
        assertEachKeyIsClaimedOnce(cluster, claims);
    }

    private void injectFault(RaftCluster cluster) {
        List<RaftCluster.Replica> all = List.copyOf(cluster.replicas.values());
        RaftCluster.Replica chosen = all.get(cluster.random.nextInt(all.size()));
        switch (cluster.random.nextInt(60)) {
            case 0, 1 -> {
                if (chosen.isUp()
                        && all.stream().filter(RaftCluster.Replica::isUp).count() > 3) {
                    chosen.processReady(cluster.random.nextBoolean(), true);
                    chosen.crash();
                }
            }
            case 2 -> {
                if (!chosen.isUp()) {
                    chosen.start();
                }
            }
            case 3 -> {
                if (cluster.isolated.size() < 2) {
                    cluster.isolated.add(chosen.id);
                }
            }
            case 4 -> cluster.isolated.clear();
            case 5 -> loseDisk(cluster, chosen);
            case 6, 7 -> {
                if (chosen.isUp()) {
                    chosen.takeSnapshot(cluster.random.nextInt(5));
                }
            }
            default -> {
                // Most steps are without a new fault.
            }
        }
    }

    /**
     * Empties a disk if a majority of the voters without it holds all that is committed. The replica on the new disk is of
     * the same instance or of one that takes its place.
     */
    private void loseDisk(RaftCluster cluster, RaftCluster.Replica chosen) {
        Optional<RaftCluster.Replica> leader = cluster.leader();
        if (leader.isEmpty() || leader.get() == chosen) {
            return;
        }
        List<String> voters = leader.get().node.voters().getVotersList();
        long holders = voters.stream()
                .filter(id -> !id.equals(chosen.id) && cluster.replicas.containsKey(id))
                .filter(id -> holdsAllCommitted(cluster, cluster.replicas.get(id)))
                .count();
        if (holders <= voters.size() / 2) {
            return;
        }
        chosen.crash();
        cluster.replicas.remove(chosen.id);
        cluster.isolated.remove(chosen.id);
        incarnation++;
        String instance =
                cluster.random.nextBoolean() ? ReplicaId.parse(chosen.id).instance() : "s" + incarnation;
        cluster.addReplicaWithEmptyDisk(new ReplicaId(instance, Long.toString(incarnation)).toString());
    }

    private static boolean holdsAllCommitted(RaftCluster cluster, RaftCluster.Replica replica) {
        long last = cluster.committed.keySet().stream()
                .mapToLong(Long::longValue)
                .max()
                .orElse(0);
        return replica.snapshot.getLastIndex() >= last || replica.log.contains(cluster.committed.get(last));
    }

    /** What control instances do from time to time: ask to join, and remove voters that are lost. */
    private void maintain(RaftCluster cluster) {
        cluster.runFor(STEP_MILLIS);
        for (RaftCluster.Replica leader : List.copyOf(cluster.replicas.values())) {
            if (!leader.isUp() || leader.node.role() != RaftRole.LEADER) {
                continue;
            }
            LostVoterRemoval.nextChange(leader.node).ifPresent(leader.node::proposeVoters);
            cluster.replicas.values().stream()
                    .filter(joining -> joining.isUp() && joining != leader)
                    .filter(joining -> !cluster.isolated.contains(joining.id) && !cluster.isolated.contains(leader.id))
                    .filter(joining -> ReplicaReplacement.mustJoin(joining.node, joining.id))
                    .forEach(joining -> join(leader.node, joining.id));
        }
    }

    private static void join(RaftNode leader, String joining) {
        ReplicaReplacement.nextChange(leader, ReplicaId.parse(joining)).ifPresent(leader::proposeVoters);
    }

    private void recover(RaftCluster cluster) {
        cluster.isolated.clear();
        cluster.lossRate = 0;
        cluster.replicas.values().stream().filter(replica -> !replica.isUp()).forEach(RaftCluster.Replica::start);
        for (long elapsed = 0; elapsed < RECOVERY_MILLIS; elapsed += STEP_MILLIS) {
            maintain(cluster);
        }
    }

    /** Also checks that a commit is always on two disks at least, and that a set of two voters only replaces a replica. */
    private static void assertVotersChangedOneByOne(RaftCluster cluster) {
        Set<String> before = new HashSet<>();
        for (int index = 1; index <= REPLICAS; index++) {
            before.add("r" + index + "#1");
        }
        for (LogEntry entry : cluster.committed.values()) {
            if (entry.hasVoters()) {
                Set<String> after = new HashSet<>(entry.getVoters().getVotersList());
                Set<String> added = new HashSet<>(after);
                added.removeAll(before);
                Set<String> removed = new HashSet<>(before);
                removed.removeAll(after);
                assertTrue(added.size() + removed.size() <= 1, before + " to " + after);
                assertTrue(
                        after.size() >= 3 || (after.size() == 2 && hasSuccessor(removed, entry.getVoters())),
                        before + " to " + after);
                before = after;
            }
        }
    }

    private static boolean hasSuccessor(Set<String> removed, Voters voters) {
        Set<String> learning = voters.getLearnersList().stream()
                .map(id -> ReplicaId.parse(id).instance())
                .collect(Collectors.toSet());
        return removed.stream()
                .allMatch(id -> learning.contains(ReplicaId.parse(id).instance()));
    }

    private static void assertEachKeyIsClaimedOnce(RaftCluster cluster, List<String> claims) {
        Set<String> keys = new HashSet<>();
        claims.stream()
                .filter(claim -> cluster.results.containsKey(claim))
                .filter(claim -> cluster.results.get(claim).getKind() == Kind.KEY_CLAIMED)
                .map(claim -> Integer.parseInt(claim.substring("claim-".length())) / 3)
                .forEach(key -> assertTrue(keys.add("key-" + key), "key-" + key + " is claimed twice"));
    }
}
