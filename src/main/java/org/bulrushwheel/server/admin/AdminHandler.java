package org.bulrushwheel.server.admin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.vavr.control.Either;
import org.bulrushwheel.control.ControlClient;
import org.bulrushwheel.kernel.ByteBudget;
import org.bulrushwheel.logic.budget.RateLimiter;
import org.bulrushwheel.logic.config.ConfigurationCodec;
import org.bulrushwheel.logic.config.ConfigurationDelta;
import org.bulrushwheel.logic.control.TeamScope;
import org.bulrushwheel.logic.settings.RecordShape;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.config.Configuration;
import org.bulrushwheel.model.config.Drain;
import org.bulrushwheel.model.config.VersionedConfiguration;
import org.bulrushwheel.model.proto.AcceptConfiguration;
import org.bulrushwheel.model.proto.ChangeRecord;
import org.bulrushwheel.model.proto.Command;
import org.bulrushwheel.model.proto.CommandResult;
import org.bulrushwheel.model.proto.PutOperator;
import org.bulrushwheel.model.proto.ReadRequest;
import org.bulrushwheel.model.refusal.Refusal;
import org.bulrushwheel.model.refusal.RefusalReason;
import org.bulrushwheel.server.HttpAnswers;

/**
 * Handlers of the administration API: configuration, drains, operators and the audit trail.
 *
 * <p>Invariant: an operator of a team neither sees nor changes configuration of another team. Thread safe.
 */
public final class AdminHandler {
    /** Path of the configuration: GET returns it, POST replaces it. */
    public static final String CONFIGURATION_PATH = "/v1/admin/configuration";

    /** Path of drains: POST starts or ends one. */
    public static final String DRAINS_PATH = "/v1/admin/drains";

    /** Path of operators: POST stores one. */
    public static final String OPERATORS_PATH = "/v1/admin/operators";

    /** Path of the audit trail. */
    public static final String HISTORY_PATH = "/v1/admin/history";

    /** Header with the version on which the change is based. */
    public static final HttpString EXPECTED_VERSION = new HttpString("Bulrushwheel-Expected-Version");

    /** Header with the identifier by which a repeated change is recognised. */
    public static final HttpString CHANGE_ID = new HttpString("Bulrushwheel-Change-Id");

    /** Header with the version in force. */
    public static final HttpString VERSION = new HttpString("Bulrushwheel-Version");

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long ACCEPT_TIMEOUT_MILLIS = 5_000;
    private static final long CALLS_PER_SECOND = 50;

    private final ControlClient control;
    private final Authorizer authorizer;
    private final ByteBudget bodies;
    private final Supplier<VersionedConfiguration> configuration;
    private final TimeSource time;
    private final HttpAnswers answers;
    private final RateLimiter limiter = new RateLimiter(CALLS_PER_SECOND);

    /** Creates the handlers; changes are proposed through the control client, and bodies are held within a budget. */
    public AdminHandler(
            ControlClient control,
            Authorizer authorizer,
            ByteBudget bodies,
            Supplier<VersionedConfiguration> configuration,
            TimeSource time,
            HttpAnswers answers) {
        this.control = control;
        this.authorizer = authorizer;
        this.bodies = bodies;
        this.configuration = configuration;
        this.time = time;
        this.answers = answers;
    }

    /**
     * Response to an accepted change.
     *
     * @param version version created by the change
     * @param detail human-readable result
     */
    public record Accepted(long version, String detail) {}

    /**
     * Request to start or end a drain.
     *
     * @param drain target of the drain
     * @param drained true to start the drain, false to end it
     */
    public record DrainChange(Drain drain, boolean drained) {}

    /**
     * Request to store an operator.
     *
     * @param name name in the audit trail
     * @param team team of the operator, empty for the whole deployment
     * @param role VIEWER, EDITOR or ADMINISTRATOR
     * @param tokenSha256 SHA-256 of the token as lower-case hex
     */
    public record OperatorChange(String name, String team, Operator.Role role, String tokenSha256) {}

    /**
     * One entry of the audit trail.
     *
     * @param changeId identifier of the change
     * @param actor name of the operator
     * @param kind kind of the requested change
     * @param outcome result of the change
     * @param version version in force after the change
     * @param atEpochMillis time of the change
     */
    public record HistoryLine(
            String changeId, String actor, String kind, String outcome, long version, long atEpochMillis) {}

    /** Returns the handlers by path. */
    public Map<String, HttpHandler> handlers() {
        return Map.of(
                CONFIGURATION_PATH,
                endpoint(Map.of(
                        Methods.GET, new AdminEndpoint.Method(Operator.Role.VIEWER, this::show),
                        Methods.POST, new AdminEndpoint.Method(Operator.Role.EDITOR, this::accept))),
                DRAINS_PATH,
                endpoint(Map.of(Methods.POST, new AdminEndpoint.Method(Operator.Role.EDITOR, this::drain))),
                OPERATORS_PATH,
                endpoint(
                        Map.of(Methods.POST, new AdminEndpoint.Method(Operator.Role.ADMINISTRATOR, this::putOperator))),
                HISTORY_PATH,
                endpoint(Map.of(Methods.GET, new AdminEndpoint.Method(Operator.Role.VIEWER, this::history))));
    }

    private HttpHandler endpoint(Map<HttpString, AdminEndpoint.Method> methods) {
        return new AdminEndpoint(methods, authorizer, bodies, limiter, time, answers);
    }

    private void show(HttpServerExchange exchange, Operator operator, byte[] body) {
        VersionedConfiguration current = configuration.get();
        exchange.getResponseHeaders().put(VERSION, current.version());
        String document = operator.team()
                .map(team -> ConfigurationCodec.write(new TeamScope(team).visible(current.configuration())))
                .orElseGet(() -> ConfigurationCodec.documentOf(current));
        answers.text(exchange, 200, document);
    }

    private void accept(HttpServerExchange exchange, Operator operator, byte[] body) {
        Either<String, Configuration> document =
                ConfigurationCodec.read(new String(body, StandardCharsets.UTF_8), Configuration.class);
        Optional<Long> expected = Optional.ofNullable(
                        exchange.getRequestHeaders().getFirst(EXPECTED_VERSION))
                .filter(text -> text.matches("[0-9]{1,18}"))
                .map(Long::valueOf);
        if (expected.isEmpty()) {
            refuse(
                    exchange,
                    RefusalReason.MALFORMED_REQUEST,
                    "the header " + EXPECTED_VERSION + " with a version number is required");
        } else if (document.isLeft()) {
            refuse(exchange, RefusalReason.CONFIGURATION_INVALID, document.getLeft());
        } else if (operator.team().isPresent()) {
            acceptForTeam(exchange, operator, expected.get(), document.get());
        } else {
            proposeConfiguration(exchange, operator, expected.get(), document.get());
        }
    }

    private void acceptForTeam(
            HttpServerExchange exchange, Operator operator, long expected, Configuration teamDocument) {
        TeamScope scope = new TeamScope(operator.team().orElseThrow());
        VersionedConfiguration current = configuration.get();
        if (current.version() != expected) {
            refuse(exchange, RefusalReason.CONFIGURATION_CONFLICT, "version " + current.version() + " is in force");
        } else if (!scope.allows(current.configuration(), teamDocument)) {
            refuse(
                    exchange,
                    RefusalReason.FORBIDDEN,
                    "the document changes configuration that does not belong to the team");
        } else {
            proposeConfiguration(exchange, operator, expected, scope.merge(current.configuration(), teamDocument));
        }
    }

    /**
     * Proposes the difference to the expected version if this instance has that version in force, and otherwise the
     * whole document.
     */
    private void proposeConfiguration(
            HttpServerExchange exchange, Operator operator, long expected, Configuration requested) {
        AcceptConfiguration.Builder change = AcceptConfiguration.newBuilder().setExpectedVersion(expected);
        VersionedConfiguration current = configuration.get();
        if (current.version() == expected && expected > 0) {
            ConfigurationDelta delta = ConfigurationDelta.between(current.configuration(), requested);
            change.addAllUpserts(delta.upserts()).addAllRemovals(delta.removals());
        } else {
            change.setDocument(ConfigurationCodec.write(requested));
        }
        propose(exchange, operator, Command.newBuilder().setAcceptConfiguration(change));
    }

    private void drain(HttpServerExchange exchange, Operator operator, byte[] body) {
        readJson(exchange, body, DrainChange.class).ifPresent(change -> {
            if (operator.team().isPresent()) {
                refuse(exchange, RefusalReason.FORBIDDEN, "only operators of the whole deployment may change drains");
                return;
            }
            VersionedConfiguration current = configuration.get();
            List<Drain> drains = new ArrayList<>(current.configuration().drains());
            drains.remove(change.drain());
            if (change.drained()) {
                drains.add(change.drain());
            }
            proposeConfiguration(
                    exchange,
                    operator,
                    current.version(),
                    current.configuration().withDrains(drains));
        });
    }

    private void putOperator(HttpServerExchange exchange, Operator operator, byte[] body) {
        readJson(exchange, body, OperatorChange.class).ifPresent(change -> {
            boolean otherTeam =
                    operator.team().filter(team -> !team.equals(change.team())).isPresent();
            if (otherTeam) {
                refuse(exchange, RefusalReason.FORBIDDEN, "the team must be the operator's own team");
                return;
            }
            if (change.tokenSha256() == null || !change.tokenSha256().matches("[0-9a-f]{64}|")) {
                refuse(exchange, RefusalReason.MALFORMED_REQUEST, "the hash must be a SHA-256 in lower-case hex");
                return;
            }
            propose(
                    exchange,
                    operator,
                    Command.newBuilder()
                            .setPutOperator(PutOperator.newBuilder()
                                    .setName(change.name())
                                    .setTeam(change.team())
                                    .setRole(change.role().name())
                                    .setTokenSha256(change.tokenSha256())));
        });
    }

    private void history(HttpServerExchange exchange, Operator operator, byte[] body) {
        if (operator.team().isPresent()) {
            refuse(
                    exchange,
                    RefusalReason.FORBIDDEN,
                    "only operators of the whole deployment may read the audit trail");
            return;
        }
        control.read(ReadRequest.newBuilder().setHistory(true).build(), ACCEPT_TIMEOUT_MILLIS)
                .thenAccept(answer -> exchange.getIoThread()
                        .execute(() -> answer.ifPresentOrElse(
                                found -> answers.json(
                                        exchange,
                                        200,
                                        found.getHistoryList().stream()
                                                .map(AdminHandler::toLine)
                                                .toList()),
                                () -> refuse(
                                        exchange,
                                        RefusalReason.NO_QUORUM,
                                        "no majority of control replicas has confirmed a leader"))));
    }

    private void propose(HttpServerExchange exchange, Operator operator, Command.Builder command) {
        Optional<String> changeId = Optional.ofNullable(
                        exchange.getRequestHeaders().getFirst(CHANGE_ID))
                .filter(text -> !text.isBlank());
        if (changeId.isEmpty()) {
            refuse(exchange, RefusalReason.MALFORMED_REQUEST, "the header " + CHANGE_ID + " is required");
            return;
        }
        Command complete =
                command.setChangeId(changeId.get()).setActor(operator.name()).build();
        control.propose(complete, ACCEPT_TIMEOUT_MILLIS)
                .thenAccept(result -> exchange.getIoThread().execute(() -> answer(exchange, result)));
    }

    private void answer(HttpServerExchange exchange, CommandResult result) {
        switch (result.getKind()) {
            case DONE -> answers.json(exchange, 200, new Accepted(result.getVersion(), result.getDetail()));
            case CONFLICT -> refuse(exchange, RefusalReason.CONFIGURATION_CONFLICT, result.getDetail());
            case NOT_IN_BREAK -> refuse(exchange, RefusalReason.NOT_IN_BREAK, result.getDetail());
            case INVALID -> refuse(exchange, RefusalReason.CONFIGURATION_INVALID, result.getDetail());
            default ->
                answers.refuse(
                        exchange,
                        Refusal.unknown(
                                RefusalReason.NO_QUORUM,
                                "the result is not known; send the change again with the same change id"));
        }
    }

    private <T> Optional<T> readJson(HttpServerExchange exchange, byte[] body, Class<T> type) {
        try {
            List<String> faults = RecordShape.faults(JSON.readTree(body), type);
            if (faults.isEmpty()) {
                return Optional.of(JSON.readValue(body, type));
            }
            refuse(exchange, RefusalReason.MALFORMED_REQUEST, String.join("; ", faults));
        } catch (JsonProcessingException e) {
            refuse(exchange, RefusalReason.MALFORMED_REQUEST, "the body is not valid JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            refuse(exchange, RefusalReason.BODY_INCOMPLETE, "the body cannot be read");
        }
        return Optional.empty();
    }

    private static HistoryLine toLine(ChangeRecord record) {
        return new HistoryLine(
                record.getChangeId(),
                record.getActor(),
                record.getSummary(),
                record.getResult().getKind().name(),
                record.getVersion(),
                record.getAcceptedAtEpochMillis());
    }

    private void refuse(HttpServerExchange exchange, RefusalReason reason, String detail) {
        answers.refuse(exchange, Refusal.notRun(reason, detail));
    }
}
