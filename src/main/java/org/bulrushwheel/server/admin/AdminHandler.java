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
 * The administration API: configuration, drains, operators and the audit trail.
 *
 * <p>Invariant: an operator of a team neither sees nor changes what belongs to another team. Thread safe.
 */
public final class AdminHandler {
    /** Path of the configuration: GET shows it, POST accepts another. */
    public static final String CONFIGURATION_PATH = "/v1/admin/configuration";

    /** Path of drains: POST starts or ends one. */
    public static final String DRAINS_PATH = "/v1/admin/drains";

    /** Path of operators: POST stores one. */
    public static final String OPERATORS_PATH = "/v1/admin/operators";

    /** Path of the audit trail. */
    public static final String HISTORY_PATH = "/v1/admin/history";

    /** Header that names the version which the change was made from. */
    public static final HttpString EXPECTED_VERSION = new HttpString("Bulrushwheel-Expected-Version");

    /** Header that makes a change recognisable when it is sent again. */
    public static final HttpString CHANGE_ID = new HttpString("Bulrushwheel-Change-Id");

    /** Header that carries the version in force. */
    public static final HttpString VERSION = new HttpString("Bulrushwheel-Version");

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long ACCEPT_TIMEOUT_MILLIS = 5_000;
    private static final long CALLS_PER_SECOND = 50;

    private final ControlClient control;
    private final Authorizer authorizer;
    private final Supplier<VersionedConfiguration> configuration;
    private final TimeSource time;
    private final HttpAnswers answers;
    private final RateLimiter limiter = new RateLimiter(CALLS_PER_SECOND);

    /** An API that proposes through the client. */
    public AdminHandler(
            ControlClient control,
            Authorizer authorizer,
            Supplier<VersionedConfiguration> configuration,
            TimeSource time,
            HttpAnswers answers) {
        this.control = control;
        this.authorizer = authorizer;
        this.configuration = configuration;
        this.time = time;
        this.answers = answers;
    }

    /**
     * Outcome of an accepted change.
     *
     * @param version version that the change has become
     * @param detail outcome for people
     */
    public record Accepted(long version, String detail) {}

    /**
     * A drain to start or to end.
     *
     * @param drain what is drained
     * @param drained true to start, false to end
     */
    public record DrainChange(Drain drain, boolean drained) {}

    /**
     * An operator to store.
     *
     * @param name name in the audit trail
     * @param team team, empty for the whole deployment
     * @param role VIEWER, EDITOR or ADMINISTRATOR
     * @param tokenSha256 SHA-256 of the token as lower-case hex
     */
    public record OperatorChange(String name, String team, Operator.Role role, String tokenSha256) {}

    /**
     * One line of the audit trail.
     *
     * @param changeId identity of the change
     * @param actor operator
     * @param kind what was asked
     * @param outcome what was decided
     * @param version version in force afterwards
     * @param atEpochMillis when
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
        return new AdminEndpoint(methods, authorizer, limiter, time, answers);
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
            refuse(exchange, RefusalReason.MALFORMED_REQUEST, "the header " + EXPECTED_VERSION + " is needed");
        } else if (document.isLeft()) {
            refuse(exchange, RefusalReason.CONFIGURATION_INVALID, document.getLeft());
        } else if (operator.team().isPresent()) {
            acceptOfTeam(exchange, operator, expected.get(), document.get());
        } else {
            proposeConfiguration(exchange, operator, expected.get(), document.get());
        }
    }

    private void acceptOfTeam(HttpServerExchange exchange, Operator operator, long expected, Configuration own) {
        TeamScope scope = new TeamScope(operator.team().orElseThrow());
        VersionedConfiguration current = configuration.get();
        if (current.version() != expected) {
            refuse(exchange, RefusalReason.CONFIGURATION_CONFLICT, "version " + current.version() + " is in force");
        } else if (!scope.allows(current.configuration(), own)) {
            refuse(exchange, RefusalReason.FORBIDDEN, "the document changes what does not belong to the team");
        } else {
            proposeConfiguration(exchange, operator, expected, scope.merge(current.configuration(), own));
        }
    }

    /** Proposes only what changed where this instance has the expected version, and the whole document otherwise. */
    private void proposeConfiguration(
            HttpServerExchange exchange, Operator operator, long expected, Configuration wanted) {
        AcceptConfiguration.Builder change = AcceptConfiguration.newBuilder().setExpectedVersion(expected);
        VersionedConfiguration current = configuration.get();
        if (current.version() == expected && expected > 0) {
            ConfigurationDelta delta = ConfigurationDelta.between(current.configuration(), wanted);
            change.addAllUpserts(delta.upserts()).addAllRemovals(delta.removals());
        } else {
            change.setDocument(ConfigurationCodec.write(wanted));
        }
        propose(exchange, operator, Command.newBuilder().setAcceptConfiguration(change));
    }

    private void drain(HttpServerExchange exchange, Operator operator, byte[] body) {
        readJson(exchange, body, DrainChange.class).ifPresent(change -> {
            if (operator.team().isPresent()) {
                refuse(exchange, RefusalReason.FORBIDDEN, "drains belong to the whole deployment");
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
            boolean foreign =
                    operator.team().filter(team -> !team.equals(change.team())).isPresent();
            if (foreign || !change.tokenSha256().matches("[0-9a-f]{64}|")) {
                refuse(exchange, RefusalReason.FORBIDDEN, "the team must be the operator's own, the hash a SHA-256");
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
            refuse(exchange, RefusalReason.FORBIDDEN, "the audit trail belongs to the whole deployment");
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
                                () -> refuse(exchange, RefusalReason.NO_QUORUM, "no leader is confirmed"))));
    }

    private void propose(HttpServerExchange exchange, Operator operator, Command.Builder command) {
        Optional<String> changeId = Optional.ofNullable(
                        exchange.getRequestHeaders().getFirst(CHANGE_ID))
                .filter(text -> !text.isBlank());
        if (changeId.isEmpty()) {
            refuse(exchange, RefusalReason.MALFORMED_REQUEST, "the header " + CHANGE_ID + " is needed");
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
                        Refusal.unknown(RefusalReason.NO_QUORUM, "send the change again under its change id"));
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
            refuse(exchange, RefusalReason.MALFORMED_REQUEST, "the body is no JSON: " + e.getOriginalMessage());
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
