package org.bulrushwheel.server.fleet;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import org.bulrushwheel.control.ControlClient;
import org.bulrushwheel.logic.fleet.TrafficChecker;
import org.bulrushwheel.model.decision.Decision;
import org.bulrushwheel.model.decision.DecisionField;
import org.bulrushwheel.model.decision.DecisionKind;
import org.bulrushwheel.model.decision.DecisionSink;
import org.bulrushwheel.model.proto.Command;
import org.bulrushwheel.model.proto.CommandResult;
import org.bulrushwheel.model.proto.ReadAnswer;
import org.bulrushwheel.model.proto.ReadRequest;
import org.bulrushwheel.model.proto.ReplaceTraffic;
import org.bulrushwheel.model.proto.SetEvacuation;
import org.bulrushwheel.model.proto.TrafficDocument;
import org.bulrushwheel.model.traffic.TrafficConfiguration;
import org.bulrushwheel.model.traffic.TrafficDocumentCodec;

/**
 * Operators' orders to the fleet.
 *
 * <p>Invariants: an order is acknowledged only once a majority of control replicas has synced it; a read is answered
 * only by a leader that a majority confirms. Thread safe.
 */
public final class FleetAdministration {
    /** How an order ended. */
    public enum Outcome {
        /** In force, and kept. */
        ACCEPTED,
        /** Refused for its faults; it never comes into force. */
        INVALID,
        /** Not known; the same order may be sent again. */
        UNKNOWN
    }

    // Operators take a second without an answer for a failure.
    private static final long ORDER_TIMEOUT_MILLIS = 3_000;
    private static final long READ_TIMEOUT_MILLIS = 900;

    private final ControlClient client;
    private final TrafficDocumentCodec codec;
    private final DecisionSink decisions;

    /** Orders that go to whichever replica leads. */
    public FleetAdministration(ControlClient client, TrafficDocumentCodec codec, DecisionSink decisions) {
        this.decisions = decisions;
        this.client = client;
        this.codec = codec;
    }

    /** Checks a traffic configuration and has it accepted if its version is the highest. */
    public CompletionStage<Outcome> replaceTraffic(byte[] document) {
        Either<List<String>, TrafficConfiguration> read = codec.read(document).flatMap(FleetAdministration::check);
        Decision decision = Decision.of(DecisionKind.ORDER_DECIDED).with(DecisionField.ORDER, "replace-traffic");
        if (read.isLeft()) {
            record(decision.with(DecisionField.REASON, read.getLeft()), Outcome.INVALID);
            return CompletableFuture.completedFuture(Outcome.INVALID);
        }
        long version = read.get().version();
        Command.Builder command = Command.newBuilder()
                .setReplaceTraffic(
                        ReplaceTraffic.newBuilder().setVersion(version).setDocument(ByteString.copyFrom(document)));
        return order(command, decision.with(DecisionField.CONFIGURATION_VERSION, version));
    }

    /** Starts or ends the evacuation of a zone. */
    public CompletionStage<Outcome> setEvacuation(String zone, boolean active) {
        Command.Builder command = Command.newBuilder()
                .setSetEvacuation(SetEvacuation.newBuilder().setZone(zone).setActive(active));
        return order(
                command,
                Decision.of(DecisionKind.ORDER_DECIDED)
                        .with(DecisionField.ORDER, active ? "evacuate" : "end-evacuation")
                        .with(DecisionField.ZONE, zone));
    }

    /** Returns the newest accepted document, of version 0 before the first, or none when that is not certain. */
    public CompletionStage<Optional<TrafficDocument>> readTraffic() {
        return client.read(ReadRequest.newBuilder().setTraffic(true).build(), READ_TIMEOUT_MILLIS)
                .thenApply(answer -> answer.map(ReadAnswer::getTraffic));
    }

    private CompletionStage<Outcome> order(Command.Builder command, Decision decision) {
        return client.propose(command.build(), ORDER_TIMEOUT_MILLIS).thenApply(result -> {
            Outcome outcome = result.getKind() == CommandResult.Kind.DONE ? Outcome.ACCEPTED : Outcome.UNKNOWN;
            record(decision, outcome);
            return outcome;
        });
    }

    private void record(Decision decision, Outcome outcome) {
        Decision decided = decision.with(DecisionField.OUTCOME, outcome);
        decisions.record(outcome == Outcome.ACCEPTED ? decided : decided.asFailure());
    }

    private static Either<List<String>, TrafficConfiguration> check(TrafficConfiguration configuration) {
        List<String> faults = TrafficChecker.check(configuration);
        return faults.isEmpty() ? Either.right(configuration) : Either.left(faults);
    }
}
