package org.bulrushwheel.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.bulrushwheel.kernel.KernelService;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.instance.Instance;
import org.bulrushwheel.model.proto.Command;
import org.bulrushwheel.model.proto.CommandResult;
import org.bulrushwheel.model.proto.Frame;
import org.bulrushwheel.model.proto.Proposal;
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

    private final List<String> replicas;
    private final PeerNetwork peers;
    private final TimeSource time;
    private final MetricRegistry metrics;
    private volatile String leader;

    /** A client of the control instances in the settings. */
    public ControlClient(Settings settings, PeerNetwork peers, TimeSource time, MetricRegistry metrics) {
        this.replicas = settings.instances().stream()
                .filter(Instance::control)
                .map(Instance::name)
                .toList();
        this.peers = peers;
        this.time = time;
        this.metrics = metrics;
        this.leader = replicas.isEmpty() ? "" : replicas.get(0);
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
        long deadlineMillis = time.monotonicMillis() + timeoutMillis;
        if (replicas.isEmpty()) {
            return CompletableFuture.completedFuture(noQuorum());
        }
        return attempt(command, leader, deadlineMillis);
    }

    private CompletableFuture<CommandResult> attempt(Command command, String target, long deadlineMillis) {
        long remainingMillis = deadlineMillis - time.monotonicMillis();
        if (remainingMillis <= 0) {
            metrics.counter("control.proposals.no-quorum").inc();
            return CompletableFuture.completedFuture(noQuorum());
        }
        Frame.Builder frame =
                Frame.newBuilder().setProposal(Proposal.newBuilder().setCommand(command));
        return peers.call(target, frame, Math.min(TRY_TIMEOUT_MILLIS, remainingMillis))
                .handle((answer, error) -> Optional.ofNullable(answer).map(Frame::getCommandResult))
                .thenCompose(result -> conclude(command, target, result, deadlineMillis));
    }

    private CompletableFuture<CommandResult> conclude(
            Command command, String target, Optional<CommandResult> result, long deadlineMillis) {
        if (result.isPresent() && result.get().getKind() != CommandResult.Kind.NOT_LEADER) {
            leader = target;
            return CompletableFuture.completedFuture(result.get());
        }
        metrics.counter(result.isPresent() ? "control.retries.not-leader" : "control.retries.unreachable")
                .inc();
        String hint = result.map(CommandResult::getLeader).orElse("");
        String next = hint.isEmpty() || hint.equals(target) ? after(target) : hint;
        Executor pause = CompletableFuture.delayedExecutor(RETRY_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
        return CompletableFuture.supplyAsync(() -> next, pause)
                .thenCompose(target2 -> attempt(command, target2, deadlineMillis));
    }

    private String after(String target) {
        return replicas.get((replicas.indexOf(target) + 1) % replicas.size());
    }

    private static CommandResult noQuorum() {
        return CommandResult.newBuilder().setKind(CommandResult.Kind.NO_QUORUM).build();
    }
}
