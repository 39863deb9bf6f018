package org.bulrushwheel.server.fleet;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import org.bulrushwheel.control.ControlClient;
import org.bulrushwheel.logic.fleet.DocumentDeltas;
import org.bulrushwheel.logic.fleet.TrafficChecker;
import org.bulrushwheel.model.decision.Decision;
import org.bulrushwheel.model.decision.DecisionField;
import org.bulrushwheel.model.decision.DecisionKind;
import org.bulrushwheel.model.decision.DecisionSink;
import org.bulrushwheel.model.proto.Command;
import org.bulrushwheel.model.proto.CommandResult;
import org.bulrushwheel.model.proto.DocumentDelta;
import org.bulrushwheel.model.proto.ReadAnswer;
import org.bulrushwheel.model.proto.ReadRequest;
import org.bulrushwheel.model.proto.ReplaceTraffic;
import org.bulrushwheel.model.proto.SetEvacuation;
import org.bulrushwheel.model.proto.TrafficDocument;
import org.bulrushwheel.model.traffic.TrafficConfiguration;
import org.bulrushwheel.model.traffic.TrafficDocumentCodec;
import org.bulrushwheel.server.api.CallerPresence;

/**
 * Administrative commands of operators: traffic configurations and zone evacuations.
 *
 * <p>Invariants: a command is acknowledged only after a majority of control replicas has synced it to disk; a read is
 * answered only by a leader whose leadership a majority has confirmed. Thread safe.
 */
public final class FleetAdministration {
    /** Result of a command. */
    public enum Outcome {
        /** The command is committed and in force. */
        ACCEPTED,
        /** Rejected by validation; it never comes into force. */
        INVALID,
        /** The result is not known; the same command may be sent again. */
        UNKNOWN
    }

    // Operators treat one second without a response as a failure.
    private static final long COMMAND_TIMEOUT_MILLIS = 3_000;
    private static final long READ_TIMEOUT_MILLIS = 900;

    private final ControlClient client;
    private final Supplier<CompletableFuture<TrafficDocument>> applied;
    private final TrafficDocumentCodec codec;
    private final DecisionSink decisions;

    /**
     * Creates the administration.
     *
     * @param client sends commands to the current leader of the control replicas
     * @param applied reads the traffic document that the local replica has applied, which may be stale
     */
    public FleetAdministration(
            ControlClient client,
            Supplier<CompletableFuture<TrafficDocument>> applied,
            TrafficDocumentCodec codec,
            DecisionSink decisions) {
        this.decisions = decisions;
        this.applied = applied;
        this.client = client;
        this.codec = codec;
    }

    /** Validates a traffic configuration and proposes it; it comes into force if its version is the highest. */
    public CompletionStage<Outcome> replaceTraffic(byte[] document) {
        Either<List<String>, TrafficConfiguration> parsed = codec.read(document).flatMap(FleetAdministration::validate);
        Decision decision = Decision.of(DecisionKind.ORDER_DECIDED).with(DecisionField.ORDER, "replace-traffic");
        if (parsed.isLeft()) {
            record(decision.with(DecisionField.REASON, parsed.getLeft()), Outcome.INVALID);
            return CompletableFuture.completedFuture(Outcome.INVALID);
        }
        long version = parsed.get().version();
        Decision versioned = decision.with(DecisionField.CONFIGURATION_VERSION, version);
        ByteString content = ByteString.copyFrom(document);
        return applied.get().thenCompose(base -> replaceTraffic(version, content, base, versioned));
    }

    private CompletionStage<Outcome> replaceTraffic(
            long version, ByteString content, TrafficDocument base, Decision decision) {
        if (base.getVersion() >= version) {
            // Committed already, or overtaken by a committed version.
            record(decision, Outcome.ACCEPTED);
            return CompletableFuture.completedFuture(Outcome.ACCEPTED);
        }
        DocumentDelta delta = DocumentDeltas.between(base.getVersion(), base.getDocument(), content);
        return client.propose(replacement(version, delta), COMMAND_TIMEOUT_MILLIS)
                .thenCompose(result -> result.getKind() == CommandResult.Kind.BASE_CHANGED
                        ? client.propose(replacement(version, DocumentDeltas.whole(content)), COMMAND_TIMEOUT_MILLIS)
                        : CompletableFuture.completedFuture(result))
                .thenApply(result -> outcomeOf(result, decision));
    }

    private static Command replacement(long version, DocumentDelta delta) {
        return Command.newBuilder()
                .setReplaceTraffic(
                        ReplaceTraffic.newBuilder().setVersion(version).setDelta(delta))
                .build();
    }

    /**
     * Starts or ends the evacuation of a zone. The order is void once its operator has given it up: a repeat, and newer
     * orders after it, may already have been accepted by another instance.
     *
     * <p>The revision is read before the operator is asked for, so an order given after the operator has left changes it,
     * and the proposal fails however long it is delayed.
     */
    public CompletionStage<Outcome> setEvacuation(String zone, boolean active, CallerPresence operator) {
        Decision decision = Decision.of(DecisionKind.ORDER_DECIDED)
                .with(DecisionField.ORDER, active ? "evacuate" : "end-evacuation")
                .with(DecisionField.ZONE, zone);
        SetEvacuation.Builder change = SetEvacuation.newBuilder().setZone(zone).setActive(active);
        ReadRequest request = ReadRequest.newBuilder().setEvacuationZone(zone).build();
        return client.read(request, READ_TIMEOUT_MILLIS)
                .thenCompose(current -> operator.isWaiting().thenCompose(waiting -> {
                    if (!waiting) {
                        return dropped(decision, "caller-left");
                    }
                    return current.map(ReadAnswer::getEvacuation)
                            .map(evacuation -> propose(change.setBaseRevision(evacuation.getRevision()), decision))
                            .orElseGet(() -> dropped(decision, "no-leader"));
                }));
    }

    private CompletionStage<Outcome> propose(SetEvacuation.Builder change, Decision decision) {
        Command command = Command.newBuilder().setSetEvacuation(change).build();
        return client.propose(command, COMMAND_TIMEOUT_MILLIS).thenApply(result -> outcomeOf(result, decision));
    }

    private CompletionStage<Outcome> dropped(Decision decision, String reason) {
        record(decision.with(DecisionField.REASON, reason), Outcome.UNKNOWN);
        return CompletableFuture.completedFuture(Outcome.UNKNOWN);
    }

    /**
     * Returns the newest accepted document, with version 0 if none was accepted yet, or empty if no leader could
     * confirm it.
     */
    public CompletionStage<Optional<TrafficDocument>> readTraffic() {
        return applied.get().thenCompose(this::readTraffic);
    }

    private CompletionStage<Optional<TrafficDocument>> readTraffic(TrafficDocument base) {
        ReadRequest request = ReadRequest.newBuilder()
                .setTraffic(true)
                .setHaveTrafficVersion(base.getVersion())
                .build();
        return client.read(request, READ_TIMEOUT_MILLIS).thenApply(answer -> answer.map(ReadAnswer::getTraffic)
                .map(newest -> newest.getVersion() == base.getVersion() ? base : newest));
    }

    private Outcome outcomeOf(CommandResult result, Decision decision) {
        Outcome outcome = result.getKind() == CommandResult.Kind.DONE ? Outcome.ACCEPTED : Outcome.UNKNOWN;
        boolean superseded = result.getKind() == CommandResult.Kind.BASE_CHANGED;
        record(superseded ? decision.with(DecisionField.REASON, "superseded") : decision, outcome);
        return outcome;
    }

    private void record(Decision decision, Outcome outcome) {
        Decision decided = decision.with(DecisionField.OUTCOME, outcome);
        decisions.record(outcome == Outcome.ACCEPTED ? decided : decided.asFailure());
    }

    private static Either<List<String>, TrafficConfiguration> validate(TrafficConfiguration configuration) {
        List<String> faults = TrafficChecker.check(configuration);
        return faults.isEmpty() ? Either.right(configuration) : Either.left(faults);
    }
}
