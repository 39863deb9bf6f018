package org.bulrushwheel.logic.raft;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import org.bulrushwheel.logic.control.ControlState;
import org.bulrushwheel.model.proto.ClaimKey;
import org.bulrushwheel.model.proto.Command;
import org.bulrushwheel.model.proto.CommandResult;
import org.bulrushwheel.model.proto.ControlSnapshot;
import org.bulrushwheel.model.proto.HardState;
import org.bulrushwheel.model.proto.LogEntry;
import org.bulrushwheel.model.proto.RaftMessage;
import org.bulrushwheel.model.proto.SnapshotFile;
import org.bulrushwheel.model.proto.Voters;

/** Simulated cluster with virtual time, an unreliable network, and disks that lose unsynced writes in a crash. */
final class RaftCluster {
    private static final long TICK_MILLIS = 20;

    final Random random;
    final Map<String, Replica> replicas = new TreeMap<>();
    final Map<Long, LogEntry> committed = new TreeMap<>();
    final Map<Long, String> leadersByTerm = new HashMap<>();
    final Map<String, CommandResult> results = new HashMap<>();
    final Set<String> isolated = new HashSet<>();
    double lossRate;
    double duplicationRate;
    long maxDelayMillis = 10;
    /** Bytes that may be on their way from one replica to another; like a peer connection, drops messages beyond it. */
    long maxLinkBytes = Long.MAX_VALUE;

    long nowMillis;
    private long sequence;
    private final Map<String, Long> bytesByLink = new HashMap<>();
    private final PriorityQueue<Delivery> network =
            new PriorityQueue<>(Comparator.comparingLong(Delivery::atMillis).thenComparingLong(Delivery::sequence));

    /** A command that a leader has taken; another one may be committed at its index in a later term. */
    private record Proposal(String name, long term) {}

    private record Delivery(long atMillis, long sequence, RaftMessage message) {}

    /** One replica. Its synced disk content survives a crash of the node. */
    final class Replica {
        final String id;
        HardState hardState = HardState.getDefaultInstance();
        SnapshotFile snapshot;
        List<LogEntry> log = new ArrayList<>();
        RaftNode node;
        ControlState state;
        long applied;
        final Map<Long, Proposal> proposed = new HashMap<>();
        boolean isDiskFull;

        Replica(String id, Voters voters) {
            this.id = id;
            this.snapshot = SnapshotFile.newBuilder().setVoters(voters).build();
            start();
        }

        void start() {
            node = new RaftNode(
                    id,
                    new StoredState(hardState, snapshot, log),
                    RaftTimings.DEFAULT,
                    new Random(random.nextLong()),
                    nowMillis);
            state = new ControlState();
            restore(snapshot);
            proposed.clear();
        }

        void crash() {
            node = null;
        }

        boolean isUp() {
            return node != null;
        }

        /** Processes pending work: stores, sends and applies. A simulated crash before or after the sync loses the rest. */
        void processReady(boolean crashBeforeSync, boolean crashAfterSync) {
            for (RaftReady ready = node.takeReady(); !ready.isEmpty(); ready = node.takeReady()) {
                if (isDiskFull && ready.needsStorage()) {
                    start();
                    return;
                }
                if (crashBeforeSync) {
                    crash();
                    return;
                }
                store(ready);
                if (crashAfterSync) {
                    crash();
                    return;
                }
                ready.messages().forEach(RaftCluster.this::send);
                ready.committed().forEach(this::apply);
                node.persisted(ready);
                if (node.role() == RaftRole.LEADER) {
                    String other = leadersByTerm.putIfAbsent(node.term(), id);
                    require(other == null || other.equals(id), "two leaders in term " + node.term());
                }
            }
        }

        void takeSnapshot(long retainedEntries) {
            // A control instance takes snapshots with no work pending; what is pending would be stored twice.
            processReady(false, false);
            if (applied <= snapshot.getLastIndex()) {
                return;
            }
            SnapshotFile newSnapshot = SnapshotFile.newBuilder()
                    .setLastIndex(applied)
                    .setLastTerm(node.termAt(applied))
                    .setVoters(node.votersAt(applied))
                    .setState(state.snapshot().toByteString())
                    .build();
            log = new ArrayList<>(node.entriesAfter(applied));
            snapshot = newSnapshot;
            node.compact(newSnapshot, retainedEntries);
        }

        void store(RaftReady ready) {
            ready.installed().ifPresent(installed -> {
                snapshot = installed;
                log = new ArrayList<>();
                restore(installed);
            });
            ready.hardState().ifPresent(stored -> hardState = stored);
            ready.truncateAfter().ifPresent(index -> log.removeIf(entry -> entry.getIndex() > index));
            log.addAll(ready.entries());
        }

        private void restore(SnapshotFile from) {
            applied = from.getLastIndex();
            try {
                state.restore(ControlSnapshot.parseFrom(from.getState()));
            } catch (com.google.protobuf.InvalidProtocolBufferException e) {
                throw new IllegalStateException(e);
            }
        }

        private void apply(LogEntry entry) {
            require(entry.getIndex() == applied + 1, id + " applied index " + entry.getIndex() + " after " + applied);
            applied = entry.getIndex();
            LogEntry other = committed.putIfAbsent(entry.getIndex(), entry);
            require(
                    other == null || other.equals(entry),
                    "index " + entry.getIndex() + " has two different committed entries");
            CommandResult result =
                    entry.hasVoters() ? CommandResult.getDefaultInstance() : state.apply(entry.getCommand());
            Proposal proposal = proposed.get(entry.getIndex());
            if (proposal != null && entry.getTerm() == proposal.term()) {
                results.putIfAbsent(proposal.name(), result);
            }
        }
    }

    RaftCluster(long seed, int size) {
        random = new Random(seed);
        Voters.Builder voters = Voters.newBuilder();
        for (int index = 1; index <= size; index++) {
            voters.addVoters("r" + index + "#1");
        }
        voters.getVotersList().forEach(id -> replicas.put(id, new Replica(id, voters.build())));
    }

    Replica addReplicaWithEmptyDisk(String id) {
        Replica replica = new Replica(id, Voters.getDefaultInstance());
        replicas.put(id, replica);
        return replica;
    }

    Optional<Replica> leader() {
        return replicas.values().stream()
                .filter(replica -> replica.isUp() && !isolated.contains(replica.id))
                .filter(replica -> replica.node.role() == RaftRole.LEADER)
                .max(Comparator.comparingLong(replica -> replica.node.term()));
    }

    void runFor(long millis) {
        long end = nowMillis + millis;
        while (nowMillis < end) {
            nowMillis += TICK_MILLIS;
            while (!network.isEmpty() && network.peek().atMillis() <= nowMillis) {
                deliver(network.poll().message());
            }
            for (Replica replica : List.copyOf(replicas.values())) {
                if (replica.isUp()) {
                    replica.node.tick(nowMillis);
                    replica.processReady(false, false);
                }
            }
        }
    }

    /** Proposes to the leader. Once the leader has applied the command, {@link #results} holds its result by name. */
    boolean propose(String name, Command command) {
        Optional<Replica> leader = leader();
        Optional<Long> index = leader.flatMap(replica -> replica.node.propose(command));
        index.ifPresent(taken -> leader.get()
                .proposed
                .put(taken, new Proposal(name, leader.get().node.term())));
        return index.isPresent();
    }

    /** Returns a command that claims a key of the run ledger. */
    static Command claim(String key, String owner) {
        return Command.newBuilder()
                .setClaimKey(
                        ClaimKey.newBuilder().setService("desk").setKey(key).setClaimId(owner))
                .build();
    }

    private void send(RaftMessage message) {
        if (random.nextDouble() < lossRate) {
            return;
        }
        int copies = random.nextDouble() < duplicationRate ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            long delayMillis = 1 + (long) (random.nextDouble() * maxDelayMillis);
            long linkBytes = bytesByLink.merge(linkOf(message), (long) message.getSerializedSize(), Long::sum);
            if (linkBytes > maxLinkBytes) {
                release(message);
                continue;
            }
            network.add(new Delivery(nowMillis + delayMillis, sequence++, message));
        }
    }

    private void release(RaftMessage message) {
        bytesByLink.merge(linkOf(message), (long) -message.getSerializedSize(), Long::sum);
    }

    private static String linkOf(RaftMessage message) {
        return message.getFrom() + ">" + message.getTo();
    }

    private void deliver(RaftMessage message) {
        release(message);
        Replica target = replicas.get(message.getTo());
        boolean cut = isolated.contains(message.getFrom()) || isolated.contains(message.getTo());
        if (target == null || !target.isUp() || cut) {
            return;
        }
        target.node.step(message);
        target.processReady(false, false);
    }

    static void require(boolean condition, String message) {
        if (!condition) {
            throw new AssertionError(message);
        }
    }
}
