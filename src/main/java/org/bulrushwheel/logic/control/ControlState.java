package org.bulrushwheel.logic.control;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.vavr.control.Either;
import org.bulrushwheel.logic.config.ConfigurationChecker;
import org.bulrushwheel.logic.config.ConfigurationCodec;
import org.bulrushwheel.logic.config.ConfigurationDelta;
import org.bulrushwheel.logic.config.ShiftCalendar;
import org.bulrushwheel.logic.fleet.FleetState;
import org.bulrushwheel.logic.ledger.RunLedgerState;
import org.bulrushwheel.model.config.Configuration;
import org.bulrushwheel.model.config.VersionedConfiguration;
import org.bulrushwheel.model.proto.AcceptConfiguration;
import org.bulrushwheel.model.proto.ChangeRecord;
import org.bulrushwheel.model.proto.Command;
import org.bulrushwheel.model.proto.CommandResult;
import org.bulrushwheel.model.proto.ControlSnapshot;
import org.bulrushwheel.model.proto.PutOperator;

/**
 * Replicated state machine: every control replica applies the log's commands to it. It is deterministic; the current
 * time is taken from the command.
 *
 * <p>Invariants: the version increases by one with each accepted configuration and never decreases; a change id keeps
 * its first recorded result, so a repeated proposal has no effect. Not thread safe: one thread applies and reads.
 */
public final class ControlState {
    private static final int MAX_RETAINED_CHANGES = 10_000;

    private final RunLedgerState ledger = new RunLedgerState();
    private final FleetState fleet = new FleetState();
    private final LinkedHashMap<String, ChangeRecord> changes = new LinkedHashMap<>();
    private final Map<String, PutOperator> operators = new LinkedHashMap<>();
    private VersionedConfiguration current = VersionedConfiguration.NONE;

    /** Applies one committed command and returns its result. */
    public CommandResult apply(Command command) {
        return switch (command.getChangeCase()) {
            case ACCEPT_CONFIGURATION, PUT_OPERATOR -> change(command);
            case CLAIM_KEY -> ledger.claim(command.getClaimKey(), command.getProposedAtEpochMillis());
            case COMPLETE_KEY -> ledger.complete(command.getCompleteKey(), command.getProposedAtEpochMillis());
            case RELEASE_KEY -> ledger.release(command.getReleaseKey());
            case REPLACE_TRAFFIC -> fleet.replaceTraffic(command.getReplaceTraffic());
            case SET_EVACUATION -> fleet.setEvacuation(command.getSetEvacuation());
            case PUT_ENDPOINTS -> fleet.putEndpoints(command.getPutEndpoints());
            default -> result(CommandResult.Kind.DONE, "").build();
        };
    }

    /** Returns the accepted configuration. */
    public VersionedConfiguration current() {
        return current;
    }

    /** Returns the state of the fleet. */
    public FleetState fleet() {
        return fleet;
    }

    /** Returns the recorded changes with their results, accepted or rejected, oldest first. */
    public List<ChangeRecord> history() {
        return List.copyOf(changes.values());
    }

    /** Returns the operators. */
    public List<PutOperator> operators() {
        return List.copyOf(operators.values());
    }

    /** Finds the operator whose token has this SHA-256, as lower-case hex. */
    public Optional<PutOperator> operatorByTokenSha256(String tokenSha256) {
        return operators.values().stream()
                .filter(operator -> operator.getTokenSha256().equals(tokenSha256))
                .findFirst();
    }

    /** Returns the number of keys in the run ledger. */
    public int ledgerSize() {
        return ledger.size();
    }

    /** Returns a snapshot of the whole state. */
    public ControlSnapshot snapshot() {
        return ControlSnapshot.newBuilder()
                .setVersion(current.version())
                .setDocument(ConfigurationCodec.documentOf(current))
                .addAllKeys(ledger.records())
                .addAllChanges(changes.values())
                .addAllOperators(operators.values())
                .setFleet(fleet.snapshot())
                .build();
    }

    /** Replaces the whole state by that of a snapshot. */
    public void restore(ControlSnapshot snapshot) {
        current = read(snapshot.getVersion(), snapshot.getDocument());
        ledger.restore(snapshot.getKeysList());
        fleet.restore(snapshot.getFleet());
        changes.clear();
        snapshot.getChangesList().forEach(change -> changes.put(change.getChangeId(), change));
        operators.clear();
        snapshot.getOperatorsList().forEach(operator -> operators.put(keyOf(operator), operator));
    }

    private static VersionedConfiguration read(long version, String document) {
        if (version == 0) {
            return VersionedConfiguration.NONE;
        }
        Configuration configuration = ConfigurationCodec.read(document, Configuration.class)
                .getOrElseThrow(error -> new IllegalStateException(error));
        return new VersionedConfiguration(version, configuration, document);
    }

    private CommandResult change(Command command) {
        ChangeRecord existing = changes.get(command.getChangeId());
        if (existing != null) {
            return existing.getResult();
        }
        return command.hasPutOperator() ? putOperator(command) : accept(command);
    }

    private CommandResult accept(Command command) {
        AcceptConfiguration change = command.getAcceptConfiguration();
        if (change.getExpectedVersion() != current.version()) {
            return recordChange(command, conflict(change));
        }
        Optional<CommandResult> rejection = rejectOutsideBreak(command.getProposedAtEpochMillis());
        if (rejection.isPresent()) {
            return rejection.get();
        }
        return read(change)
                .fold(
                        error -> result(CommandResult.Kind.INVALID, error).build(),
                        configuration -> checkAndAccept(command, configuration));
    }

    private Either<String, Configuration> read(AcceptConfiguration change) {
        return change.getDocument().isEmpty()
                ? new ConfigurationDelta(change.getUpsertsList(), change.getRemovalsList())
                        .applyTo(current.configuration())
                : ConfigurationCodec.read(change.getDocument(), Configuration.class);
    }

    private CommandResult checkAndAccept(Command command, Configuration configuration) {
        List<String> errors = ConfigurationChecker.check(configuration);
        if (!errors.isEmpty()) {
            return result(CommandResult.Kind.INVALID, String.join("\n", errors)).build();
        }
        String document = command.getAcceptConfiguration().getDocument();
        current = new VersionedConfiguration(current.version() + 1, configuration, document);
        return recordChange(command, result(CommandResult.Kind.DONE, "accepted").build());
    }

    private CommandResult conflict(AcceptConfiguration change) {
        String winner = changes.values().stream()
                .filter(record -> record.getResult().getKind() == CommandResult.Kind.DONE)
                .filter(record -> record.getVersion() == change.getExpectedVersion() + 1)
                .map(record -> record.getActor() + " accepted version " + record.getVersion())
                .findFirst()
                .orElse("version " + current.version() + " is in force");
        return result(CommandResult.Kind.CONFLICT, winner).build();
    }

    private Optional<CommandResult> rejectOutsideBreak(long epochMillis) {
        ShiftCalendar calendar = new ShiftCalendar(current.configuration());
        if (calendar.isBreak(epochMillis)) {
            return Optional.empty();
        }
        String next = calendar.nextBreak(epochMillis).map(Object::toString).orElse("none: the shifts fill the day");
        return Optional.of(
                result(CommandResult.Kind.NOT_IN_BREAK, "next break: " + next).build());
    }

    private CommandResult putOperator(Command command) {
        operators.put(keyOf(command.getPutOperator()), command.getPutOperator());
        return recordChange(
                command, result(CommandResult.Kind.DONE, "operator stored").build());
    }

    /** Returns the key of an operator; operator names are unique only within a team. */
    private static String keyOf(PutOperator operator) {
        return operator.getTeam() + "/" + operator.getName();
    }

    private CommandResult recordChange(Command command, CommandResult outcome) {
        changes.put(
                command.getChangeId(),
                ChangeRecord.newBuilder()
                        .setChangeId(command.getChangeId())
                        .setActor(command.getActor())
                        .setVersion(outcome.getVersion())
                        .setAcceptedAtEpochMillis(command.getProposedAtEpochMillis())
                        .setResult(outcome)
                        .setSummary(command.getChangeCase().name().toLowerCase(java.util.Locale.ROOT))
                        .build());
        if (changes.size() > MAX_RETAINED_CHANGES) {
            changes.remove(changes.keySet().iterator().next());
        }
        return outcome;
    }

    private CommandResult.Builder result(CommandResult.Kind kind, String detail) {
        return CommandResult.newBuilder()
                .setKind(kind)
                .setVersion(current.version())
                .setDetail(detail);
    }
}
