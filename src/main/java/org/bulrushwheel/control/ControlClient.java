package org.bulrushwheel.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import org.bulrushwheel.kernel.KernelService;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.instance.Instance;
import org.bulrushwheel.model.proto.Command;
import org.bulrushwheel.model.proto.CommandResult;
import org.bulrushwheel.model.proto.Frame;
import org.bulrushwheel.model.proto.Proposal;
import org.bulrushwheel.model.proto.ReadAnswer;
import org.bulrushwheel.model.proto.ReadRequest;
import org.bulrushwheel.model.settings.Settings;
import org.bulrushwheel.wire.PeerNetwork;

/**
 * Sends commands and reads to the leader of the control replicas; finds a new leader when it changes.
 *
 * <p>Invariant: a command may be proposed more than once, so every command carries an id by which the state machine
 * applies it only once. Thread safe.
 */
public final class ControlClient implements KernelService {
    /** Name in the kernel. */
    public static final String NAME = "control-client";

    private static final long ATTEMPT_TIMEOUT_MILLIS = 700;
    private static final long RETRY_DELAY_MILLIS = 20;

    private final Supplier<List<String>> replicas;
    private final PeerNetwork peers;
    private final TimeSource time;
    private final MetricRegistry metrics;
    private volatile String leader;

    /** Creates a client of the control instances listed in the settings. */
    public ControlClient(Settings settings, PeerNetwork peers, TimeSource time, MetricRegistry metrics) {
        this(replicasOf(settings), peers, time, metrics);
    }

    /** Creates a client of a set of replicas that may change over time. */
    public ControlClient(Supplier<List<String>> replicas, PeerNetwork peers, TimeSource time, MetricRegistry metrics) {
        this.replicas = replicas;
        this.peers = peers;
        this.time = time;
        this.metrics = metrics;
        this.leader = "";
    }

    private static Supplier<List<String>> replicasOf(Settings settings) {
        List<String> names = settings.instances().stream()
                .filter(Instance::control)
                .map(Instance::name)
                .toList();
        return () -> names;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        // No background work.
    }

    @Override
    public void stop() {
        // No background work.
    }

    /**
     * Proposes a command and retries until its outcome is known.
     *
     * @param command the command, with an id that makes repeats harmless
     * @param timeoutMillis total time for all attempts; the result is NO_QUORUM if the outcome is still unknown then
     */
    public CompletableFuture<CommandResult> propose(Command command, long timeoutMillis) {
        Frame frame = Frame.newBuilder()
                .setProposal(Proposal.newBuilder().setCommand(command))
                .build();
        return call(frame, timeoutMillis).thenApply(answer -> answer.map(Frame::getCommandResult)
                .orElse(CommandResult.newBuilder()
                        .setKind(CommandResult.Kind.NO_QUORUM)
                        .build()));
    }

    /** Reads from a leader confirmed by a majority; empty if there is none within the time-out. */
    public CompletableFuture<Optional<ReadAnswer>> read(ReadRequest request, long timeoutMillis) {
        Frame frame = Frame.newBuilder().setReadRequest(request).build();
        return call(frame, timeoutMillis).thenApply(answer -> answer.map(Frame::getReadAnswer));
    }

    private CompletableFuture<Optional<Frame>> call(Frame frame, long timeoutMillis) {
        long deadlineMillis = time.monotonicMillis() + timeoutMillis;
        List<String> candidates = replicas.get();
        if (candidates.isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return attempt(frame, candidates.contains(leader) ? leader : candidates.get(0), deadlineMillis);
    }

    private CompletableFuture<Optional<Frame>> attempt(Frame frame, String target, long deadlineMillis) {
        long remainingMillis = deadlineMillis - time.monotonicMillis();
        if (remainingMillis <= 0) {
            metrics.counter("control.proposals.no-quorum").inc();
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return peers.call(target, frame.toBuilder(), Math.min(ATTEMPT_TIMEOUT_MILLIS, remainingMillis))
                .handle((answer, error) -> Optional.ofNullable(answer))
                .thenCompose(answer -> completeOrRetry(frame, target, answer, deadlineMillis));
    }

    private CompletableFuture<Optional<Frame>> completeOrRetry(
            Frame frame, String target, Optional<Frame> answer, long deadlineMillis) {
        boolean notLeader = answer.map(Frame::getCommandResult)
                .filter(result -> result.getKind() == CommandResult.Kind.NOT_LEADER)
                .isPresent();
        if (answer.isPresent() && !notLeader) {
            leader = target;
            return CompletableFuture.completedFuture(answer);
        }
        metrics.counter(notLeader ? "control.retries.not-leader" : "control.retries.unreachable")
                .inc();
        String hint = answer.map(answerFrame -> answerFrame.getCommandResult().getLeader())
                .orElse("");
        String next = hint.isEmpty() || hint.equals(target) ? replicaAfter(target) : hint;
        Executor retryExecutor = CompletableFuture.delayedExecutor(RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        return CompletableFuture.supplyAsync(() -> next, retryExecutor)
                .thenCompose(nextTarget -> attempt(frame, nextTarget, deadlineMillis));
    }

    private String replicaAfter(String target) {
        List<String> candidates = replicas.get();
        return candidates.isEmpty() ? target : candidates.get((candidates.indexOf(target) + 1) % candidates.size());
    }
}
