package org.bulrushwheel.server.gateway;

import java.util.UUID;

import com.google.protobuf.ByteString;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.HttpString;
import org.bulrushwheel.kernel.BudgetedBody;
import org.bulrushwheel.model.proto.ClaimKey;
import org.bulrushwheel.model.proto.CommandResult;
import org.bulrushwheel.model.proto.HeaderField;
import org.bulrushwheel.model.proto.StoredAnswer;
import org.bulrushwheel.model.refusal.Refusal;
import org.bulrushwheel.model.refusal.RefusalReason;
import org.bulrushwheel.model.refusal.RunState;
import org.bulrushwheel.server.HeldBodies;

/**
 * Runs a non-idempotent request at most once: claims its idempotency key before the first attempt and stores the answer
 * before sending it to the caller.
 *
 * <p>Invariant: the request is dispatched only after its own claim succeeded; a claim is released only if no upstream
 * can have run the request. Confined to the I/O thread of the exchange.
 */
final class OnceGuard implements AnswerSink {
    private final HttpServerExchange exchange;
    private final GatewayRequest request;
    private final GatewayServices services;
    private final GatewayExchange gatewayExchange;
    private final ClaimKey claim;

    OnceGuard(
            HttpServerExchange exchange,
            GatewayRequest request,
            GatewayServices services,
            GatewayExchange gatewayExchange) {
        this.exchange = exchange;
        this.request = request;
        this.services = services;
        this.gatewayExchange = gatewayExchange;
        this.claim = ClaimKey.newBuilder()
                .setService(request.service())
                .setKey(request.idempotencyKey().orElseThrow())
                .setRequestDigest(ByteString.copyFrom(request.digest()))
                .setClaimId(UUID.randomUUID().toString())
                .build();
    }

    /** Claims the key, then starts the first attempt or responds with the outcome recorded in the ledger. */
    void run() {
        services.ledger().claim(claim).thenAccept(result -> exchange.getIoThread()
                .execute(() -> onClaim(result)));
    }

    @Override
    public boolean needsFullAnswer() {
        return true;
    }

    @Override
    public void answered(BufferedAnswer answer, Runnable send) {
        services.ledger()
                .complete(claim, toStored(answer), answer.complete())
                .whenComplete((result, error) -> exchange.getIoThread().execute(send));
    }

    @Override
    public void refused(Refusal refusal, Runnable send) {
        if (refusal.runState() == RunState.NOT_RUN) {
            services.ledger().release(claim).whenComplete((result, error) -> exchange.getIoThread()
                    .execute(send));
            return;
        }
        services.ledger().completeUnknown(claim);
        send.run();
    }

    private void onClaim(CommandResult result) {
        switch (result.getKind()) {
            case KEY_CLAIMED -> gatewayExchange.run(this);
            case KEY_COMPLETED -> replay(result);
            case KEY_IN_PROGRESS -> refuseInProgress(result);
            case KEY_DIGEST_MISMATCH ->
                refuse(Refusal.notRun(
                        RefusalReason.IDEMPOTENCY_KEY_REUSED, "the key was already used for a different request"));
            default -> {
                services.ledger().release(claim);
                refuse(Refusal.notRun(RefusalReason.LEDGER_UNAVAILABLE, "the key could not be claimed")
                        .withRetryAfterSeconds(1));
            }
        }
    }

    private void refuseInProgress(CommandResult result) {
        boolean alive = services.ledger().isHolderAlive(result.getHolder(), result.getHolderIncarnation());
        RefusalReason reason = alive ? RefusalReason.REQUEST_IN_PROGRESS : RefusalReason.OUTCOME_UNKNOWN;
        refuse(Refusal.unknown(reason, "claim held by " + result.getHolder()).withRetryAfterSeconds(alive ? 1 : 0));
    }

    private void replay(CommandResult result) {
        if (result.getOutcomeUnknown()) {
            refuse(Refusal.unknown(RefusalReason.OUTCOME_UNKNOWN, "the original request ended without an answer"));
            return;
        }
        if (!result.getAnswerKept()) {
            refuse(Refusal.unknown(RefusalReason.ANSWER_NOT_KEPT, "the request ran, but its answer was not stored"));
            return;
        }
        ByteString answer = result.getAnswer().getBody();
        BudgetedBody body =
                HeldBodies.hold(exchange, services.bodies(), GatewayHandler.MAX_ONCE_BODY_BYTES, answer.size());
        if (!body.append(answer.asReadOnlyByteBuffer())) {
            refuse(Refusal.unknown(RefusalReason.NO_ROOM, "the request ran, but its answer cannot be held now")
                    .withRetryAfterSeconds(1));
            return;
        }
        services.metrics().counter("gateway.answers.replayed").inc();
        HeaderMap headers = new HeaderMap();
        for (HeaderField field : result.getAnswer().getHeadersList()) {
            headers.add(new HttpString(field.getName()), field.getValue());
        }
        headers.put(GatewayHeaders.REPLAYED, "true");
        GatewayExchange.send(
                exchange, new BufferedAnswer(result.getAnswer().getStatus(), headers, body.complete(), true));
    }

    private void refuse(Refusal refusal) {
        services.answers().refuse(exchange, refusal);
    }

    private static StoredAnswer toStored(BufferedAnswer answer) {
        StoredAnswer.Builder stored =
                StoredAnswer.newBuilder().setStatus(answer.status()).setBody(ByteString.copyFrom(answer.body()));
        for (HeaderValues values : answer.headers()) {
            values.forEach(value -> stored.addHeaders(HeaderField.newBuilder()
                    .setName(values.getHeaderName().toString())
                    .setValue(value)));
        }
        return stored.build();
    }
}
