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
 * Proposes commands to whichever control replica leads.
 *
 * <p>Invariant: a command may be proposed more than once, so every command carries an id under which the state decides
 * it once. Thread safe.
 */
public final class ControlClient implements KernelService {
    /** Name in the kernel. */
    public static final String NAME = "control-client";

    private static final long TRY_TIMEOUT_MILLIS = 700;
    private static final long RETRY_PAUSE_MILLIS = 20;

    private final Supplier<List<String>> replicas;
    private final PeerNetwork peers;
    private final TimeSource time;
    private final MetricRegistry metrics;
    private volatile String leader;

    /** A client of the control instances in the settings. */
    public ControlClient(Settings settings, PeerNetwork peers, TimeSource time, MetricRegistry metrics) {
        this(replicasOf(settings), peers, time, metrics);
    }

    /** A client of replicas that may change. */
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
        // Nothing runs between proposals.
    }

    @Override
    public void stop() {
        // Nothing runs between proposals.
    }

    /**
     * Proposes until an outcome is known.
     *
     * @param command the command, with an id that makes repeats harmless
     * @param timeoutMillis how long to try; the answer says NO_QUORUM when no outcome is known by then
     */
    public CompletableFuture<CommandResult> propose(Command command, long timeoutMillis) {
        Frame frame = Frame.newBuilder()
                .setProposal(Proposal.newBuilder().setCommand(command))
                .build();
        return ask(frame, timeoutMillis).thenApply(answer -> answer.map(Frame::getCommandResult)
                .orElse(CommandResult.newBuilder()
                        .setKind(CommandResult.Kind.NO_QUORUM)
                        .build()));
    }

    /** Reads from a leader that a majority confirms; empty when there is none by the timeout. */
    public CompletableFuture<Optional<ReadAnswer>> read(ReadRequest request, long timeoutMillis) {
        Frame frame = Frame.newBuilder().setReadRequest(request).build();
        return ask(frame, timeoutMillis).thenApply(answer -> answer.map(Frame::getReadAnswer));
    }

    private CompletableFuture<Optional<Frame>> ask(Frame frame, long timeoutMillis) {
        long deadlineMillis = time.monotonicMillis() + timeoutMillis;
        List<String> known = replicas.get();
        if (known.isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return attempt(frame, known.contains(leader) ? leader : known.get(0), deadlineMillis);
    }

    private CompletableFuture<Optional<Frame>> attempt(Frame frame, String target, long deadlineMillis) {
        long remainingMillis = deadlineMillis - time.monotonicMillis();
        if (remainingMillis <= 0) {
            metrics.counter("control.proposals.no-quorum").inc();
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return peers.call(target, frame.toBuilder(), Math.min(TRY_TIMEOUT_MILLIS, remainingMillis))
                .handle((answer, error) -> Optional.ofNullable(answer))
                .thenCompose(answer -> conclude(frame, target, answer, deadlineMillis));
    }

    private CompletableFuture<Optional<Frame>> conclude(
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
        String hint = answer.map(
                        frameOfAnswer -> frameOfAnswer.getCommandResult().getLeader())
                .orElse("");
        String next = hint.isEmpty() || hint.equals(target) ? after(target) : hint;
        Executor pause = CompletableFuture.delayedExecutor(RETRY_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
        return CompletableFuture.supplyAsync(() -> next, pause)
                .thenCompose(nextTarget -> attempt(frame, nextTarget, deadlineMillis));
    }

    private String after(String target) {
        List<String> known = replicas.get();
        return known.isEmpty() ? target : known.get((known.indexOf(target) + 1) % known.size());
    }
}
