package org.bulrushwheel.control;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import org.bulrushwheel.kernel.KernelService;
import org.bulrushwheel.logic.control.ControlState;
import org.bulrushwheel.logic.fleet.FleetState;
import org.bulrushwheel.logic.raft.RaftNode;
import org.bulrushwheel.logic.raft.RaftReady;
import org.bulrushwheel.logic.raft.RaftRole;
import org.bulrushwheel.logic.raft.RaftTimings;
import org.bulrushwheel.logic.raft.ReplicaId;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.config.VersionedConfiguration;
import org.bulrushwheel.model.decision.DecisionSink;
import org.bulrushwheel.model.proto.Command;
import org.bulrushwheel.model.proto.CommandResult;
import org.bulrushwheel.model.proto.ControlSnapshot;
import org.bulrushwheel.model.proto.Frame;
import org.bulrushwheel.model.proto.LogEntry;
import org.bulrushwheel.model.proto.RaftMessage;
import org.bulrushwheel.model.proto.ReadAnswer;
import org.bulrushwheel.model.proto.ReadRequest;
import org.bulrushwheel.model.proto.SnapshotFile;
import org.bulrushwheel.model.proto.TrafficDocument;
import org.bulrushwheel.model.proto.Voters;
import org.bulrushwheel.model.settings.Settings;
import org.bulrushwheel.storage.ReplicaStorage;
import org.bulrushwheel.storage.StorageException;
import org.bulrushwheel.wire.PeerNetwork;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Control replica: drives the Raft node and applies committed entries to the control state.
 *
 * <p>Invariant: only the control thread accesses log, state and storage. Work that arrives while a batch is processed is
 * queued and handled as the next batch, so that its log entries share one sync. Thread safe.
 */
public final class ControlService implements KernelService {
    /** Name in the kernel. */
    public static final String NAME = "control";

    private static final Logger LOGGER = LoggerFactory.getLogger(ControlService.class);
    private static final long TICK_MILLIS = 50;
    // Space on a full disk is usually freed within seconds, and an attempt to open the storage is cheap.
    private static final long STORAGE_RETRY_DELAY_MILLIS = 500;
    private static final long MIN_DISK_STALL_MILLIS = 500;

    private final ReplicaSettings settings;
    private final PeerNetwork peers;
    private final TimeSource time;
    private final RandomGenerator random;
    private final MetricRegistry metrics;
    private final ControlInbox inbox;
    private final List<Consumer<VersionedConfiguration>> configurationListeners = new CopyOnWriteArrayList<>();
    private final List<Consumer<FleetState>> fleetListeners = new CopyOnWriteArrayList<>();
    private final PendingProposals proposals = new PendingProposals();
    private final Map<Long, Runnable> pendingReads = new HashMap<>();
    private final ControlState state = new ControlState();
    private final ReplicaMembership membership;
    private final Thread thread = new Thread(this::run, "control");

    private ReplicaEventLog eventLog = new ReplicaEventLog(DecisionSink.NONE);
    private volatile ConfirmedFetchListener fetchListener = (requester, haveVersion, newestVersion) -> {};
    private @Nullable RaftNode node;
    private @Nullable ReplicaStorage storage;
    private String replica = "";
    private long appliedIndex;
    private long nextReadId;
    private long notifiedFleetRevision;
    private RaftRole lastRole = RaftRole.FOLLOWER;
    private volatile boolean stopping;
    private volatile ReplicaStatus status = ReplicaStatus.STARTING;

    /** Creates a replica whose data folder and peers come from the settings. */
    public ControlService(
            Settings settings, PeerNetwork peers, TimeSource time, RandomGenerator random, MetricRegistry metrics) {
        this(ReplicaSettings.of(settings), peers, time, random, metrics);
    }

    /** Creates a replica with explicit replica settings. */
    public ControlService(
            ReplicaSettings settings,
            PeerNetwork peers,
            TimeSource time,
            RandomGenerator random,
            MetricRegistry metrics) {
        this.settings = settings;
        this.peers = peers;
        this.time = time;
        this.random = random;
        this.metrics = metrics;
        this.inbox = new ControlInbox(metrics);
        this.membership = new ReplicaMembership(settings, peers, time);
        peers.handle(
                Frame.BodyCase.RAFT,
                (frame, reply) -> inbox.add(frame, () -> requireNode().step(frame.getRaft())));
        peers.handle(Frame.BodyCase.PROPOSAL, (frame, reply) -> propose(frame)
                .thenAccept(result -> reply.accept(Frame.newBuilder().setCommandResult(result))));
        peers.handle(Frame.BodyCase.READ_REQUEST, (frame, reply) -> read(frame)
                .thenAccept(answer -> answer.ifPresentOrElse(
                        found -> reply.accept(Frame.newBuilder().setReadAnswer(found)),
                        () -> reply.accept(Frame.newBuilder().setCommandResult(PendingProposals.notLeader())))));
        peers.handle(
                Frame.BodyCase.JOIN_REQUEST,
                (frame, reply) ->
                        inbox.add(frame, () -> membership.onJoinRequest(requireNode(), frame.getJoinRequest())));
    }

    /** Initializes the data folder of a replica in a new deployment with the given initial voters. */
    public static void bootstrap(Path folder, String instance, List<String> firstVoters) {
        Voters.Builder voters = Voters.newBuilder();
        firstVoters.stream()
                .sorted()
                .map(name -> new ReplicaId(name, ReplicaId.FIRST_DISK).toString())
                .forEach(voters::addVoters);
        String identity = new ReplicaId(instance, ReplicaId.FIRST_DISK).toString();
        ReplicaStorage.format(
                folder, identity, SnapshotFile.newBuilder().setVoters(voters).build());
    }

    @Override
    public String name() {
        return NAME;
    }

    /** Adds a listener for accepted configurations; it is called on the control thread. */
    public void addConfigurationListener(Consumer<VersionedConfiguration> listener) {
        configurationListeners.add(listener);
    }

    /** Adds a listener for fleet state changes; it is called on the control thread. */
    public void addFleetListener(Consumer<FleetState> listener) {
        fleetListeners.add(listener);
    }

    /** Sets the sink that records events of this replica; must be called before the start. */
    public void setDecisionSink(DecisionSink decisions) {
        eventLog = new ReplicaEventLog(decisions);
    }

    /** Runs work with the state on the control thread. */
    public void execute(Consumer<ControlState> work) {
        inbox.add(() -> work.accept(state));
    }

    /** Sets the listener that answers a fetch after a majority has confirmed that this replica is the leader. */
    public void onConfirmedFetch(ConfirmedFetchListener listener) {
        fetchListener = listener;
    }

    /** Handles a fetch that only a confirmed leader may answer. */
    public void confirmFetch(String requester, long haveVersion) {
        read(state -> state.current().version())
                .thenAccept(version ->
                        version.ifPresent(newest -> fetchListener.onConfirmed(requester, haveVersion, newest)));
    }

    /** Returns the status of the replica after its last batch. */
    public ReplicaStatus status() {
        return status;
    }

    @Override
    public void start() {
        Path folder = settings.dataFolder();
        Optional<String> stored = ReplicaStorage.identity(folder);
        if (stored.isEmpty()) {
            ReplicaId fresh = new ReplicaId(
                    settings.instance(), UUID.randomUUID().toString().substring(0, 8));
            ReplicaStorage.format(folder, fresh.toString(), SnapshotFile.getDefaultInstance());
            eventLog.joining(fresh.toString());
        }
        replica = ReplicaStorage.identity(folder).orElseThrow();
        open();
        thread.start();
    }

    @Override
    public void stop() {
        stopping = true;
        inbox.add(() -> {});
        try {
            thread.join(TimeUnit.SECONDS.toMillis(5));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Proposes a command; the result is NOT_LEADER if this replica cannot determine the outcome. */
    public CompletableFuture<CommandResult> propose(Command command) {
        CompletableFuture<CommandResult> answer = new CompletableFuture<>();
        inbox.add(() -> propose(command, answer));
        return answer;
    }

    private CompletableFuture<CommandResult> propose(Frame frame) {
        CompletableFuture<CommandResult> answer = new CompletableFuture<>();
        if (!inbox.add(frame, () -> propose(frame.getProposal().getCommand(), answer))) {
            answer.complete(PendingProposals.notLeader());
        }
        return answer;
    }

    private void propose(Command command, CompletableFuture<CommandResult> answer) {
        Command stamped =
                command.toBuilder().setProposedAtEpochMillis(time.epochMillis()).build();
        RaftNode raft = requireNode();
        raft.propose(stamped)
                .ifPresentOrElse(
                        index -> proposals.add(index, raft.term(), answer),
                        () -> answer.complete(PendingProposals.notLeader().toBuilder()
                                .setLeader(leaderInstance())
                                .build()));
    }

    /** Reads the state after a majority has confirmed that this replica is the leader; empty if it is not. */
    public <T> CompletableFuture<Optional<T>> read(Function<ControlState, T> reader) {
        CompletableFuture<Optional<T>> answer = new CompletableFuture<>();
        inbox.add(() -> read(reader, answer));
        return answer.completeOnTimeout(Optional.empty(), 1, TimeUnit.SECONDS);
    }

    private CompletableFuture<Optional<ReadAnswer>> read(Frame frame) {
        CompletableFuture<Optional<ReadAnswer>> answer = new CompletableFuture<>();
        if (!inbox.add(frame, () -> read(state -> answerRead(state, frame.getReadRequest()), answer))) {
            answer.complete(Optional.empty());
        }
        return answer.completeOnTimeout(Optional.empty(), 1, TimeUnit.SECONDS);
    }

    private <T> void read(Function<ControlState, T> reader, CompletableFuture<Optional<T>> answer) {
        long readId = nextReadId++;
        pendingReads.put(readId, () -> answer.complete(Optional.of(reader.apply(state))));
        if (!requireNode().requestRead(readId)) {
            pendingReads.remove(readId);
            answer.complete(Optional.empty());
        }
    }

    /** Reads the state applied by this replica, which may be stale. */
    public <T> CompletableFuture<T> readLocal(Function<ControlState, T> reader) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        inbox.add(() -> answer.complete(reader.apply(state)));
        return answer;
    }

    private void run() {
        try {
            while (!stopping) {
                runGuarded();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            proposals.failAll();
            closeStorage();
            status = status.stopped();
        }
    }

    /**
     * Runs one batch. After a storage failure or an internal error, stops the replica until its storage reopens, then reloads
     * its state.
     */
    private void runGuarded() throws InterruptedException {
        try {
            if (storage == null) {
                open();
                eventLog.diskRecovered();
            }
            runBatch();
        } catch (StorageException e) {
            metrics.counter("control.storage.failed").inc();
            LOGGER.error("replica={} storage failed; stopping until it can be reopened", replica, e);
            eventLog.diskFailed(String.valueOf(e.getMessage()));
            stopUntilReopened();
        } catch (RuntimeException | OutOfMemoryError e) {
            // What is in memory may be inconsistent now; what is on the disk is not.
            metrics.counter("control.failed").inc();
            LOGGER.error("replica={} internal error; reloading its state", replica, e);
            eventLog.diskFailed("internal error; the state is reloaded");
            stopUntilReopened();
        }
    }

    private void stopUntilReopened() throws InterruptedException {
        proposals.failAll();
        pendingReads.clear();
        closeStorage();
        status = status.stopped();
        Thread.sleep(STORAGE_RETRY_DELAY_MILLIS);
    }

    private void open() {
        ReplicaStorage opened = ReplicaStorage.open(settings.dataFolder());
        storage = opened;
        node = new RaftNode(replica, opened.state(), RaftTimings.DEFAULT, random, time.monotonicMillis());
        restore(opened.state().snapshot());
        opened.releaseLoadedEntries();
    }

    private void runBatch() throws InterruptedException {
        try {
            inbox.takeBatch(TICK_MILLIS).forEach(Runnable::run);
            requireNode().tick(time.monotonicMillis());
            membership.maintain(requireNode(), replica);
            handleReady();
        } finally {
            inbox.releaseBatch();
        }
        maybeSnapshot();
        publishStatus();
        notifyFleetListeners();
    }

    private void handleReady() {
        RaftNode raft = requireNode();
        for (RaftReady ready = raft.takeReady(); !ready.isEmpty(); ready = raft.takeReady()) {
            if (ready.needsStorage()) {
                store(ready);
                metrics.meter("control.log.syncs").mark();
                ready.entries()
                        .forEach(entry -> metrics.meter("control.log.bytes").mark(entry.getSerializedSize()));
                metrics.meter("control.log.entries").mark(ready.entries().size());
            }
            ready.installed().ifPresent(this::restore);
            ready.messages().forEach(this::send);
            ready.committed().forEach(this::apply);
            raft.persisted(ready);
            ready.confirmedReads().forEach(this::answerRead);
        }
    }

    private void store(RaftReady ready) {
        long startMillis = time.monotonicMillis();
        requireStorage().store(ready);
        long tookMillis = time.monotonicMillis() - startMillis;
        if (tookMillis >= MIN_DISK_STALL_MILLIS) {
            eventLog.diskStalled(tookMillis);
        }
    }

    private static ReadAnswer answerRead(ControlState state, ReadRequest request) {
        ReadAnswer.Builder answer = ReadAnswer.newBuilder();
        state.operatorByTokenSha256(request.getTokenSha256()).ifPresent(answer::addOperators);
        if (request.getHistory()) {
            answer.addAllHistory(state.history());
        }
        if (request.getTraffic()) {
            TrafficDocument newest = state.fleet().traffic();
            boolean isKnown = newest.getVersion() == request.getHaveTrafficVersion();
            answer.setTraffic(isKnown ? newest.toBuilder().clearDocument().build() : newest);
        }
        if (!request.getEvacuationZone().isEmpty()) {
            answer.setEvacuation(state.fleet().evacuation(request.getEvacuationZone()));
        }
        return answer.build();
    }

    private void answerRead(long readId) {
        Runnable read = pendingReads.remove(readId);
        if (read != null) {
            read.run();
        }
    }

    private void send(RaftMessage message) {
        peers.send(
                ReplicaId.parse(message.getTo()).instance(), Frame.newBuilder().setRaft(message));
    }

    private void apply(LogEntry entry) {
        appliedIndex = entry.getIndex();
        if (entry.hasVoters()) {
            eventLog.voters(entry.getVoters());
            return;
        }
        long versionBefore = state.current().version();
        CommandResult result = state.apply(entry.getCommand());
        proposals.applied(entry, result);
        if (state.current().version() != versionBefore) {
            eventLog.accepted(state.current().version(), entry.getCommand().getActor());
            notifyConfigurationListeners();
        }
    }

    private void restore(SnapshotFile snapshot) {
        appliedIndex = snapshot.getLastIndex();
        if (snapshot.getState().isEmpty()) {
            state.restore(ControlSnapshot.getDefaultInstance());
            return;
        }
        try {
            state.restore(ControlSnapshot.parseFrom(snapshot.getState()));
        } catch (com.google.protobuf.InvalidProtocolBufferException e) {
            throw new StorageException(
                    "the snapshot was written by an incompatible release; run the release that wrote it", e);
        }
        notifyConfigurationListeners();
    }

    private void notifyConfigurationListeners() {
        configurationListeners.forEach(listener -> listener.accept(state.current()));
    }

    private void maybeSnapshot() {
        RaftNode raft = requireNode();
        ReplicaStorage files = requireStorage();
        if (files.logSizeBytes() < settings.snapshotLogBytes() || appliedIndex <= files.snapshotIndex()) {
            return;
        }
        SnapshotFile snapshot = SnapshotFile.newBuilder()
                .setLastIndex(appliedIndex)
                .setLastTerm(raft.termAt(appliedIndex))
                .setVoters(raft.votersAt(appliedIndex))
                .setState(state.snapshot().toByteString())
                .build();
        files.saveSnapshot(snapshot, raft.entriesAfter(appliedIndex));
        raft.compact(snapshot, settings.entriesKept());
        metrics.counter("control.snapshots").inc();
    }

    private void notifyFleetListeners() {
        long revision = state.fleet().revision();
        if (revision != notifiedFleetRevision) {
            notifiedFleetRevision = revision;
            fleetListeners.forEach(listener -> listener.accept(state.fleet()));
        }
    }

    private void publishStatus() {
        RaftNode raft = requireNode();
        if (raft.role() != lastRole) {
            if (lastRole == RaftRole.LEADER) {
                proposals.failAll();
                pendingReads.clear();
            }
            lastRole = raft.role();
        }
        eventLog.status(raft.role(), raft.term(), leaderInstance(), raft.hasLeaderContact());
        status = new ReplicaStatus(
                replica,
                raft.role(),
                raft.term(),
                leaderInstance(),
                raft.commitIndex(),
                appliedIndex,
                raft.voters().getVotersList(),
                raft.voters().getLearnersList(),
                raft.hasLeaderContact(),
                raft.upToDateUntilMillis(),
                true);
    }

    private String leaderInstance() {
        return requireNode().leader().map(id -> ReplicaId.parse(id).instance()).orElse("");
    }

    private void closeStorage() {
        ReplicaStorage files = storage;
        storage = null;
        if (files == null) {
            return;
        }
        try {
            files.close();
        } catch (IOException e) {
            LOGGER.warn("failed to close the data folder", e);
        }
    }

    private RaftNode requireNode() {
        return java.util.Objects.requireNonNull(node, "the control service is not started");
    }

    private ReplicaStorage requireStorage() {
        return java.util.Objects.requireNonNull(storage, "the control service is not started");
    }
}
