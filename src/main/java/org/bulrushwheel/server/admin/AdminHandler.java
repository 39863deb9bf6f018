package org.bulrushwheel.server.admin;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Supplier;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import org.bulrushwheel.control.ControlClient;
import org.bulrushwheel.model.config.VersionedConfiguration;
import org.bulrushwheel.model.proto.AcceptConfiguration;
import org.bulrushwheel.model.proto.Command;
import org.bulrushwheel.model.proto.CommandResult;
import org.bulrushwheel.model.refusal.Refusal;
import org.bulrushwheel.model.refusal.RefusalReason;
import org.bulrushwheel.server.HttpAnswers;

/**
 * {@code GET /v1/admin/configuration} shows the configuration in force, {@code POST} accepts a new one under the
 * version that it was made from and a change id.
 *
 * <p>Thread safe.
 */
public final class AdminHandler implements HttpHandler {
    /** Path of the configuration. */
    public static final String CONFIGURATION_PATH = "/v1/admin/configuration";

    /** Header that names the version which the change was made from. */
    public static final HttpString EXPECTED_VERSION = new HttpString("Bulrushwheel-Expected-Version");

    /** Header that makes a change recognisable when it is sent again. */
    public static final HttpString CHANGE_ID = new HttpString("Bulrushwheel-Change-Id");

    /** Header that carries the version in force. */
    public static final HttpString VERSION = new HttpString("Bulrushwheel-Version");

    private static final int MAX_DOCUMENT_BYTES = 64 * 1024 * 1024;
    private static final long ACCEPT_TIMEOUT_MILLIS = 5_000;

    private final ControlClient control;
    private final Authorizer authorizer;
    private final Supplier<VersionedConfiguration> configuration;
    private final HttpAnswers answers;

    /** A handler that proposes through the client. */
    public AdminHandler(
            ControlClient control,
            Authorizer authorizer,
            Supplier<VersionedConfiguration> configuration,
            HttpAnswers answers) {
        this.control = control;
        this.authorizer = authorizer;
        this.configuration = configuration;
        this.answers = answers;
    }

    /**
     * Outcome of an accepted change.
     *
     * @param version version that the change has become
     * @param detail outcome for people
     */
    public record Accepted(long version, String detail) {}

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        Optional<String> operator = authorizer.operatorOf(exchange);
        if (operator.isEmpty()) {
            refuse(exchange, RefusalReason.UNAUTHORIZED, "no operator has this token");
        } else if (exchange.getRequestMethod().equals(Methods.GET)) {
            VersionedConfiguration current = configuration.get();
            exchange.getResponseHeaders().put(VERSION, current.version());
            answers.text(exchange, 200, current.document());
        } else if (exchange.getRequestMethod().equals(Methods.POST)) {
            exchange.getRequestReceiver().setMaxBufferSize(MAX_DOCUMENT_BYTES);
            exchange.getRequestReceiver()
                    .receiveFullBytes(
                            (ready, body) -> accept(ready, operator.get(), body),
                            (failed, error) -> refuse(failed, RefusalReason.BODY_INCOMPLETE, "the body is cut short"));
        } else {
            refuse(exchange, RefusalReason.MALFORMED_REQUEST, "the method must be GET or POST");
        }
    }

    private void accept(HttpServerExchange exchange, String operator, byte[] body) {
        Optional<String> expected =
                Optional.ofNullable(exchange.getRequestHeaders().getFirst(EXPECTED_VERSION));
        Optional<String> changeId =
                Optional.ofNullable(exchange.getRequestHeaders().getFirst(CHANGE_ID));
        if (expected.filter(text -> text.matches("[0-9]{1,18}")).isEmpty() || changeId.isEmpty()) {
            refuse(
                    exchange,
                    RefusalReason.MALFORMED_REQUEST,
                    "the headers " + EXPECTED_VERSION + " and " + CHANGE_ID + " are needed");
            return;
        }
        Command command = Command.newBuilder()
                .setChangeId(changeId.get())
                .setActor(operator)
                .setAcceptConfiguration(AcceptConfiguration.newBuilder()
                        .setExpectedVersion(Long.parseLong(expected.get()))
                        .setDocument(new String(body, StandardCharsets.UTF_8)))
                .build();
        exchange.dispatch(
                io.undertow.util.SameThreadExecutor.INSTANCE, () -> control.propose(command, ACCEPT_TIMEOUT_MILLIS)
                        .thenAccept(result -> exchange.getIoThread().execute(() -> answer(exchange, result))));
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

    private void refuse(HttpServerExchange exchange, RefusalReason reason, String detail) {
        answers.refuse(exchange, Refusal.notRun(reason, detail));
    }
}
