package org.bulrushwheel.logic.raft;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.bulrushwheel.local.TestConfigurations;
import org.bulrushwheel.model.proto.AcceptConfiguration;
import org.bulrushwheel.model.proto.AppendRequest;
import org.bulrushwheel.model.proto.Command;
import org.bulrushwheel.model.proto.CommandResult;
import org.bulrushwheel.model.proto.CommandResult.Kind;
import org.bulrushwheel.model.proto.InstallSnapshot;
import org.bulrushwheel.model.proto.LogEntry;
import org.bulrushwheel.model.proto.Noop;
import org.bulrushwheel.model.proto.RaftMessage;
import org.bulrushwheel.model.proto.SnapshotFile;
import org.bulrushwheel.model.proto.VoteRequest;
import org.bulrushwheel.model.proto.Voters;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RaftNodeTest {
    private static final String DOCUMENT = TestConfigurations.document();

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void committedEntriesSurviveFaults(long seed) {
        RaftCluster cluster = new RaftCluster(seed, 5);
        cluster.lossRate = 0.05;
        cluster.duplicationRate = 0.05;
        cluster.maxDelayMillis = 120;
        List<String> claimed = new ArrayList<>();
        Map<String, Long> invokedMillis = new HashMap<>();
        for (int step = 0; step < 300; step++) {
            injectFault(cluster);
            String name = "claim-" + step;
            String key = "key-" + step / 3;
            if (cluster.propose(name, RaftCluster.claim(key, name))) {
                invokedMillis.put(name, cluster.nowMillis);
                claimed.add(name);
            }
            cluster.runFor(60);
        }
        recoverAll(cluster);
        assertTrue(cluster.propose("last", RaftCluster.claim("last", "last")));
        cluster.runFor(3_000);

        assertEquals(Kind.KEY_CLAIMED, cluster.results.get("last").getKind());
        assertEveryReplicaHasTheSameState(cluster);
        assertEachKeyIsClaimedOnce(cluster, claimed);
    }

    @ParameterizedTest
    @ValueSource(longs = {31, 32, 33, 34, 35})
    void concurrentChangesHaveOneWinnerPerVersion(long seed) {
        RaftCluster cluster = new RaftCluster(seed, 5);
        cluster.lossRate = 0.02;
        cluster.runFor(3_000);
        Map<Long, String> winners = new HashMap<>();
        for (int round = 0; round < 20; round++) {
            long version = cluster.leader()
                    .map(leader -> leader.state.current().version())
                    .orElse(0L);
            cluster.propose("a" + round, accept("a" + round, version));
            cluster.propose("b" + round, accept("b" + round, version));
            if (round % 7 == 3) {
                cluster.leader().ifPresent(RaftCluster.Replica::crash);
            }
            cluster.runFor(2_000);
            cluster.replicas.values().stream()
                    .filter(replica -> !replica.isUp())
                    .forEach(RaftCluster.Replica::start);
            cluster.runFor(1_000);
        }
        cluster.results.forEach((name, result) -> {
            if (result.getKind() == Kind.DONE) {
                String other = winners.put(result.getVersion(), name);
                assertEquals(null, other, "version " + result.getVersion() + " has two winners");
            }
        });
        long last = cluster.leader().orElseThrow().state.current().version();
        assertTrue(winners.keySet().stream().allMatch(version -> version <= last));
        assertTrue(last >= 15, "only " + last + " changes were accepted");
    }

    @Test
    void isolatedLeaderStepsDownAndRejectsReads() {
        RaftCluster cluster = new RaftCluster(7, 5);
        cluster.runFor(3_000);
        RaftCluster.Replica old = cluster.leader().orElseThrow();
        cluster.isolated.add(old.id);
        assertTrue(old.node.requestRead(1));
        cluster.runFor(3_000);

        assertFalse(old.node.role() == RaftRole.LEADER);
        assertFalse(old.node.requestRead(2));
        assertTrue(cluster.leader().isPresent());
    }

    @Test
    void returningIsolatedReplicaDoesNotDisruptLeader() {
        RaftCluster cluster = new RaftCluster(8, 5);
        cluster.runFor(3_000);
        RaftCluster.Replica leader = cluster.leader().orElseThrow();
        String other = cluster.replicas.keySet().stream()
                .filter(id -> !id.equals(leader.id))
                .findFirst()
                .orElseThrow();
        cluster.isolated.add(other);
        cluster.runFor(60_000);
        long term = leader.node.term();
        cluster.isolated.clear();
        cluster.runFor(5_000);

        assertEquals(term, cluster.leader().orElseThrow().node.term());
    }

    @Test
    void laggingReplicaCatchesUpFromSnapshot() {
        RaftCluster cluster = new RaftCluster(9, 3);
        cluster.runFor(3_000);
        RaftCluster.Replica leader = cluster.leader().orElseThrow();
        RaftCluster.Replica down = cluster.replicas.values().stream()
                .filter(replica -> replica != leader)
                .findFirst()
                .orElseThrow();
        down.crash();
        for (int index = 0; index < 700; index++) {
            cluster.propose("c" + index, RaftCluster.claim("key" + index, "c" + index));
            cluster.runFor(20);
        }
        cluster.runFor(500);
        leader.takeSnapshot(10);
        down.start();
        cluster.runFor(3_000);

        assertEquals(leader.applied, down.applied);
        assertEquals(leader.state.snapshot(), down.state.snapshot());
    }

    /**
     * Guards against acknowledged entries that are lost, so that a commit may be lost with them and the leader never sends
     * them again: a snapshot that arrives late discarded what the log had beyond it.
     */
    @ParameterizedTest
    @CsvSource({"true, 5, 5", "false, 3, 3"})
    void lateSnapshotKeepsAcknowledgedEntries(boolean isOfSameLog, long expectedLast, long expectedCommit) {
        String leader = "r1#1";
        RaftCluster.Replica follower = new RaftCluster(13, 3).replicas.get("r2#1");
        AppendRequest.Builder append = AppendRequest.newBuilder().setCommitIndex(2);
        for (long index = 1; index <= 5; index++) {
            append.addEntries(LogEntry.newBuilder()
                    .setTerm(1)
                    .setIndex(index)
                    .setCommand(Command.newBuilder().setNoop(Noop.getDefaultInstance())));
        }
        RaftMessage.Builder fromLeader =
                RaftMessage.newBuilder().setFrom(leader).setTo(follower.id).setTerm(2);
        follower.node.step(fromLeader.setAppendRequest(append).build());
        follower.processReady(false, false);
        follower.node.step(fromLeader
                .setInstallSnapshot(InstallSnapshot.newBuilder()
                        .setSnapshot(SnapshotFile.newBuilder()
                                .setLastIndex(3)
                                .setLastTerm(isOfSameLog ? 1 : 2)
                                .setVoters(follower.node.voters())))
                .build());
        follower.processReady(false, false);
        follower.node.step(fromLeader
                .setAppendRequest(AppendRequest.newBuilder()
                        .setPreviousIndex(expectedLast)
                        .setPreviousTerm(isOfSameLog ? 1 : 2)
                        .setCommitIndex(expectedCommit))
                .build());
        follower.processReady(false, false);

        assertEquals(expectedLast, follower.node.lastIndex());
        assertEquals(expectedCommit, follower.node.commitIndex());
        assertEquals(expectedCommit, follower.applied);
        follower.crash();
        follower.start();
        assertEquals(expectedLast, follower.node.lastIndex());
    }

    /** Guards against replicas that never become voters again after they were removed as lost. */
    @ParameterizedTest
    @ValueSource(longs = {61, 62, 63, 64, 65, 66, 67, 68})
    void removedReplicaThatReturnsBecomesAVoterAgain(long seed) {
        RaftCluster cluster = new RaftCluster(seed, 5);
        cluster.lossRate = seed % 2 == 0 ? 0 : 0.1;
        cluster.runFor(3_000);
        List<RaftCluster.Replica> lost = cluster.replicas.values().stream()
                .filter(replica -> replica != cluster.leader().orElseThrow())
                .limit(2)
                .toList();
        lost.forEach(RaftCluster.Replica::crash);
        for (RaftCluster.Replica replica : lost) {
            Voters rest = cluster.leader().orElseThrow().node.voters();
            Voters.Builder without = rest.toBuilder().clearVoters();
            rest.getVotersList().stream().filter(id -> !id.equals(replica.id)).forEach(without::addVoters);
            assertTrue(cluster.leader()
                    .orElseThrow()
                    .node
                    .proposeVoters(without.build())
                    .isPresent());
            cluster.runFor(1_000);
        }
        long term = cluster.leader().orElseThrow().node.term();
        lost.forEach(RaftCluster.Replica::start);
        for (int step = 0; step < 100; step++) {
            cluster.runFor(100);
            lost.stream()
                    .filter(replica -> ReplicaReplacement.mustJoin(replica.node, replica.id))
                    .forEach(replica -> requestJoin(cluster, replica.id));
        }
        cluster.lossRate = 0;
        cluster.runFor(2_000);
        assertEquals(
                cluster.replicas.keySet(),
                Set.copyOf(cluster.leader().orElseThrow().node.voters().getVotersList()));
        assertTrue(seed % 2 != 0 || term == cluster.leader().orElseThrow().node.term(), "the leader was disturbed");
        assertEveryReplicaHasTheSameState(cluster);
    }

    private static void requestJoin(RaftCluster cluster, String replica) {
        cluster.leader().map(leader -> leader.node).ifPresent(leader -> ReplicaReplacement.nextChange(
                        leader, ReplicaId.parse(replica))
                .ifPresent(leader::proposeVoters));
    }

    /** Guards against a replica with a full disk that counts as current because it hears its leader. */
    @ParameterizedTest
    @ValueSource(longs = {51, 52, 53, 54})
    void replicaThatHearsItsLeaderWithoutProgressIsNotUpToDate(long seed) {
        RaftCluster cluster = new RaftCluster(seed, 3);
        cluster.runFor(3_000);
        RaftCluster.Replica full = cluster.replicas.values().stream()
                .filter(replica -> replica != cluster.leader().orElseThrow())
                .findFirst()
                .orElseThrow();
        assertTrue(cluster.nowMillis < full.node.upToDateUntilMillis());
        full.isDiskFull = true;
        int heard = 0;
        for (int index = 0; index < 100; index++) {
            cluster.propose("c" + index, RaftCluster.claim("key" + index, "c" + index));
            cluster.runFor(40);
            heard += full.node.hasLeaderContact() ? 1 : 0;
            assertTrue(index < 20 || cluster.nowMillis >= full.node.upToDateUntilMillis());
        }
        assertTrue(heard > 0, "the replica does not hear its leader");
        full.isDiskFull = false;
        cluster.runFor(1_000);
        assertTrue(cluster.nowMillis < full.node.upToDateUntilMillis());
        assertEquals(cluster.leader().orElseThrow().applied, full.applied);
    }

    @ParameterizedTest
    @ValueSource(longs = {41, 42, 43, 44, 45, 46, 47, 48})
    void replacedReplicaToleratesLeaderCrashRightAfterwards(long seed) {
        RaftCluster cluster = new RaftCluster(seed, 5);
        cluster.lossRate = 0.02;
        cluster.runFor(3_000);
        cluster.propose("before", RaftCluster.claim("before", "before"));
        cluster.runFor(1_000);
        RaftCluster.Replica lost = cluster.replicas.values().stream()
                .filter(replica -> replica != cluster.leader().orElseThrow())
                .findFirst()
                .orElseThrow();
        lost.crash();
        cluster.replicas.remove(lost.id);
        ReplicaId replacement = new ReplicaId(ReplicaId.parse(lost.id).instance(), "2");
        cluster.addReplicaWithEmptyDisk(replacement.toString());
        replaceReplica(cluster, replacement);
        assertTrue(cluster.leader().orElseThrow().node.voters().getVotersList().contains(replacement.toString()));

        cluster.leader().orElseThrow().crash();
        cluster.runFor(5_000);
        assertTrue(cluster.propose("after", RaftCluster.claim("before", "after")));
        cluster.runFor(1_000);

        assertEquals(Kind.KEY_IN_PROGRESS, cluster.results.get("after").getKind());
    }

    @Test
    void replicaWithEmptiedDiskDoesNotVoteUnderItsOldIdentity() {
        RaftCluster cluster = new RaftCluster(10, 3);
        cluster.runFor(3_000);
        RaftCluster.Replica emptyDiskReplica = cluster.addReplicaWithEmptyDisk("r1#2");
        cluster.replicas.values().stream()
                .filter(replica -> replica != emptyDiskReplica
                        && replica != cluster.leader().orElseThrow())
                .findFirst()
                .orElseThrow()
                .crash();
        cluster.replicas.values().stream()
                .filter(replica -> replica != emptyDiskReplica && replica.isUp())
                .filter(replica -> replica != cluster.leader().orElse(null))
                .findFirst()
                .orElseThrow()
                .crash();
        cluster.runFor(10_000);

        assertEquals(Optional.empty(), cluster.leader());
        assertEquals(0, emptyDiskReplica.node.term());
    }

    @Test
    void voteSurvivesCrash() {
        RaftCluster cluster = new RaftCluster(11, 3);
        RaftCluster.Replica voter = cluster.replicas.get("r1#1");
        assertTrue(votesFor(voter, "r2#1"));
        voter.crash();
        voter.start();

        assertFalse(votesFor(voter, "r3#1"));
    }

    @Test
    void nonVoterNeverVotes() {
        RaftCluster cluster = new RaftCluster(12, 3);

        assertFalse(votesFor(cluster.addReplicaWithEmptyDisk("r1#2"), "r2#1"));
    }

    /**
     * Guards against a quorum that is lost for good at a promotion: the learner lacks the entry that makes it a voter and
     * refuses its vote, without which nobody can be elected to send it that entry.
     */
    @ParameterizedTest
    @ValueSource(longs = {91, 92, 93})
    void learnerVotesForACandidateThatCountsItAsAVoter(long seed) {
        RaftCluster cluster = new RaftCluster(seed, 3);
        cluster.runFor(3_000);
        RaftCluster.Replica leader = cluster.leader().orElseThrow();
        RaftCluster.Replica lost = cluster.replicas.values().stream()
                .filter(replica -> replica != leader)
                .findFirst()
                .orElseThrow();
        lost.crash();
        ReplicaId learner = new ReplicaId("s1", "1");
        cluster.addReplicaWithEmptyDisk(learner.toString());
        requestJoin(cluster, learner.toString());
        cluster.runFor(1_000);
        cluster.isolated.add(learner.toString());
        requestJoin(cluster, learner.toString());
        assertTrue(leader.node.voters().getVotersList().contains(learner.toString()), "it was not promoted");
        cluster.runFor(2_000);
        assertEquals(Optional.empty(), cluster.leader());
        cluster.isolated.clear();
        cluster.runFor(5_000);

        assertTrue(cluster.leader().isPresent(), "three of four voters elect nobody");
        assertTrue(cluster.propose("after", RaftCluster.claim("after", "after")));
        cluster.runFor(1_000);
        assertEquals(Kind.KEY_CLAIMED, cluster.results.get("after").getKind());
    }

    private static boolean votesFor(RaftCluster.Replica voter, String candidate) {
        voter.node.step(RaftMessage.newBuilder()
                .setFrom(candidate)
                .setTo(voter.id)
                .setTerm(5)
                .setVoteRequest(VoteRequest.newBuilder().setLastLogIndex(100).setLastLogTerm(4))
                .build());
        RaftReady ready = voter.node.takeReady();
        voter.store(ready);
        return ready.messages().stream()
                .anyMatch(message -> message.getVoteResponse().getGranted());
    }

    private static void injectFault(RaftCluster cluster) {
        int roll = cluster.random.nextInt(40);
        List<RaftCluster.Replica> all = List.copyOf(cluster.replicas.values());
        RaftCluster.Replica chosen = all.get(cluster.random.nextInt(all.size()));
        long up = all.stream().filter(RaftCluster.Replica::isUp).count();
        if (roll == 0 && chosen.isUp() && up > 3) {
            chosen.processReady(cluster.random.nextBoolean(), true);
            chosen.crash();
        } else if (roll <= 3 && !chosen.isUp()) {
            chosen.start();
        } else if (roll == 4 && cluster.isolated.isEmpty()) {
            cluster.isolated.add(chosen.id);
        } else if (roll <= 6) {
            cluster.isolated.clear();
        } else if (roll == 7 && chosen.isUp()) {
            chosen.takeSnapshot(cluster.random.nextInt(5));
        }
    }

    private static void recoverAll(RaftCluster cluster) {
        cluster.isolated.clear();
        cluster.lossRate = 0;
        cluster.replicas.values().stream().filter(replica -> !replica.isUp()).forEach(RaftCluster.Replica::start);
        cluster.runFor(5_000);
    }

    private static void replaceReplica(RaftCluster cluster, ReplicaId replacement) {
        for (int step = 0; step < 100; step++) {
            requestJoin(cluster, replacement.toString());
            cluster.runFor(200);
        }
    }

    private static void assertEveryReplicaHasTheSameState(RaftCluster cluster) {
        RaftCluster.Replica leader = cluster.leader().orElseThrow();
        cluster.replicas.values().forEach(replica -> {
            assertEquals(leader.applied, replica.applied, replica.id);
            assertEquals(leader.state.snapshot(), replica.state.snapshot(), replica.id);
        });
    }

    private static void assertEachKeyIsClaimedOnce(RaftCluster cluster, List<String> claimed) {
        Map<String, String> holders = new HashMap<>();
        for (String name : claimed) {
            CommandResult result = cluster.results.get(name);
            if (result != null && result.getKind() == Kind.KEY_CLAIMED) {
                int step = Integer.parseInt(name.substring("claim-".length()));
                String other = holders.put("key-" + step / 3, name);
                assertEquals(null, other, "key-" + step / 3 + " is claimed twice");
            }
        }
        assertTrue(holders.size() > 30, "only " + holders.size() + " claims got a result");
    }

    private static Command accept(String changeId, long version) {
        return Command.newBuilder()
                .setChangeId(changeId)
                .setActor(changeId)
                .setAcceptConfiguration(AcceptConfiguration.newBuilder()
                        .setExpectedVersion(version)
                        .setDocument(DOCUMENT))
                .build();
    }
}
