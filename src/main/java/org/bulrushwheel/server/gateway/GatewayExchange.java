package org.bulrushwheel.server.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.vavr.control.Either;
import org.bulrushwheel.model.refusal.Refusal;
import org.bulrushwheel.model.refusal.RefusalReason;
import org.bulrushwheel.model.refusal.RunState;
import org.bulrushwheel.server.BodyReader;
import org.bulrushwheel.server.BodyRejectedException;
import org.bulrushwheel.server.HeldBodies;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;

/**
 * Runs the attempts of one request.
 *
 * <p>Invariants: at most one attempt is in flight, or two while a reused connection is suspected to be dead; an attempt
 * that may have run is repeated only if the route is idempotent and no part of a response has been sent to the caller;
 * the caller receives the response of exactly one attempt, and only one that names this attempt or is the first on its
 * connection; a connection is kept only after a response that names its attempt. Confined to the I/O thread of the exchange.
 */
final class GatewayExchange {
    private static final int MAX_ATTEMPTS = 4;
    private static final int MAX_CRASH_RETRIES = 1;
    private static final long SILENCE_TIMEOUT_MILLIS = 2_000;

    private final HttpServerExchange exchange;
    private final GatewayRequest request;
    private final GatewayServices services;
    private final boolean streamed;
    private final XnioIoThread ioThread;
    private final Set<String> failedEndpoints = new HashSet<>();

    private AnswerSink sink = AnswerSink.DIRECT;
    private int attemptCount;
    private boolean winnerChosen;
    private int crashes;
    private Optional<Refusal> lastRefusal = Optional.empty();
    private boolean earlierAttemptMayHaveRun;
    private boolean bodyConsumed;
    private boolean newConnectionsOnly;
    private final List<Attempt> startedAttempts = new ArrayList<>();

    GatewayExchange(HttpServerExchange exchange, GatewayRequest request, GatewayServices services, boolean streamed) {
        this.exchange = exchange;
        this.request = request;
        this.services = services;
        this.streamed = streamed;
        this.ioThread = exchange.getIoThread();
    }

    /** Starts the first attempt; the outcome is passed to the sink. */
    void run(AnswerSink answerSink) {
        sink = answerSink;
        if (request.route().idempotent()) {
            exchange.addExchangeCompleteListener((done, next) -> {
                List.copyOf(startedAttempts).forEach(attempt -> abandon(attempt, false));
                next.proceed();
            });
        }
        attempt();
    }

    private void attempt() {
        attempt(SlotWait.startingAt(services.time().monotonicMillis()));
    }

    private void attempt(SlotWait wait) {
        if (services.poison().hasSuspects() && services.poison().isPoison(request.fingerprint())) {
            refuse(Refusal.notRun(RefusalReason.POISON_REQUEST, request.service()));
            return;
        }
        attemptCount++;
        SlotQuery query =
                new SlotQuery(request.service(), failedEndpoints, wait.sinceMillis(), request.deadlineMillis());
        services.slots().acquire(query).thenAccept(result -> ioThread.execute(() -> onSlot(result, wait)));
    }

    private void onSlot(Either<Refusal, SlotLease> result, SlotWait wait) {
        if (result.isLeft()) {
            if (!hasAttemptInFlight() && !winnerChosen) {
                refuse(lastRefusal
                        .map(last -> last.withRetryOf(result.getLeft()))
                        .orElse(result.getLeft()));
            }
            return;
        }
        if (winnerChosen) {
            result.get().release(AttemptOutcome.NEUTRAL, 0);
            return;
        }
        boolean newConnectionOnly =
                newConnectionsOnly || !request.route().idempotent() || streamed || hasAttemptInFlight();
        String attemptId = services.attemptIds().next(request.headers());
        Attempt attempt =
                new Attempt(result.get(), attemptId, wait, services.time().monotonicMillis());
        startedAttempts.add(attempt);
        if (exchange.isComplete() || remainingMillis() <= 0) {
            attempt.finish(AttemptOutcome.NEUTRAL);
            refuse(Refusal.notRun(RefusalReason.DEADLINE_EXCEEDED, "the deadline passed before the request was sent"));
            return;
        }
        startTimer(attempt);
        services.connections()
                .checkout(
                        attempt.lease.upstream(),
                        ioThread,
                        exchange.getConnection().getByteBufferPool(),
                        newConnectionOnly,
                        new ClientCallback<>() {
                            @Override
                            public void completed(PooledConnection connection) {
                                onConnected(attempt, connection);
                            }

                            @Override
                            public void failed(IOException e) {
                                onConnectFailed(attempt, e);
                            }
                        });
    }

    private void onConnected(Attempt attempt, PooledConnection connection) {
        if (attempt.finished) {
            services.connections().discard(connection, false);
            return;
        }
        if (attempt.lease.isHeld() && attempt.finish(AttemptOutcome.NEUTRAL)) {
            services.connections().discard(connection, false);
            placeAnew(attempt);
            return;
        }
        attempt.connection = Optional.of(connection);
        attempt.reusedConnection = connection.reused();
        bodyConsumed = bodyConsumed || streamed;
        connection.source().beginHead(request.method());
        connection.connection().sendRequest(upstreamRequest(attempt), new ClientCallback<>() {
            @Override
            public void completed(ClientExchange clientExchange) {
                clientExchange.setResponseListener(new ClientCallback<>() {
                    @Override
                    public void completed(ClientExchange answered) {
                        onResponse(attempt, answered);
                    }

                    @Override
                    public void failed(IOException e) {
                        onFailed(attempt, e);
                    }
                });
                writeBody(attempt, clientExchange);
            }

            @Override
            public void failed(IOException e) {
                onFailed(attempt, e);
            }
        });
    }

    private void placeAnew(Attempt held) {
        SlotWait wait = held.wait.resumed(held.leasedMillis, services.time().monotonicMillis());
        if (wait.mayContinue()) {
            attemptCount--;
            attempt(wait);
        } else {
            Refusal refusal = Refusal.notRun(RefusalReason.NO_UPSTREAM, request.service());
            onSlot(Either.left(refusal.withRetryAfterSeconds(1)), wait);
        }
    }

    private ClientRequest upstreamRequest(Attempt attempt) {
        ClientRequest upstreamRequest =
                new ClientRequest().setMethod(request.method()).setPath(request.path());
        HeaderMap headers = upstreamRequest.getRequestHeaders();
        GatewayHeaders.copyEndToEnd(request.headers(), headers);
        headers.put(GatewayHeaders.FORWARDED_BY, services.instance());
        headers.put(GatewayHeaders.REQUEST_ID, attempt.id);
        headers.put(GatewayHeaders.TIMEOUT_MILLIS, Math.max(1, remainingMillis()));
        if (!streamed) {
            headers.remove(Headers.CONTENT_LENGTH);
            if (request.body().length > 0) {
                headers.put(Headers.CONTENT_LENGTH, request.body().length);
            }
        } else if (!headers.contains(Headers.CONTENT_LENGTH)) {
            headers.put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
        }
        return upstreamRequest;
    }

    private void writeBody(Attempt attempt, ClientExchange clientExchange) {
        if (streamed) {
            BodyStreams.streamRequest(
                    exchange, clientExchange, e -> onRequestBodyFailed(attempt, e), e -> onFailed(attempt, e));
            return;
        }
        BodyStreams.write(clientExchange.getRequestChannel(), request.body(), e -> onFailed(attempt, e));
    }

    private void onResponse(Attempt attempt, ClientExchange clientExchange) {
        if (attempt.finished) {
            return;
        }
        attempt.connection.ifPresent(connection -> connection.source().endHead());
        ClientResponse response = clientExchange.getResponse();
        ResponseIdentity identity = ResponseIdentity.of(response, attempt.id, attempt.reusedConnection);
        attempt.named = identity.named();
        if (identity.dropReason().isPresent()) {
            onDropped(attempt, identity.dropReason().get());
            return;
        }
        EndpointSignals.read(attempt.lease, response, services);
        long lengthBytes = GatewayHeaders.contentLength(response.getResponseHeaders());
        boolean small = lengthBytes >= 0
                && lengthBytes <= GatewayHandler.MAX_BUFFERED_BODY_BYTES
                && services.bodies().hasAvailable(lengthBytes);
        boolean isHeadRequest = request.method().equals(Methods.HEAD);
        if (EndpointSignals.isNotRun(response)) {
            onShed(attempt);
            return;
        }
        chooseWinner(attempt);
        if (small || isHeadRequest || sink.needsFullAnswer()) {
            int maxBytes = sink.needsFullAnswer()
                    ? GatewayHandler.MAX_ONCE_BODY_BYTES
                    : GatewayHandler.MAX_BUFFERED_BODY_BYTES;
            BodyReader.read(
                    clientExchange.getResponseChannel(),
                    exchange.getConnection().getByteBufferPool(),
                    HeldBodies.hold(
                            exchange,
                            services.bodies(),
                            maxBytes,
                            GatewayHeaders.contentLength(response.getResponseHeaders())),
                    body -> onFullAnswer(attempt, response, body),
                    e -> onAnswerReadFailed(attempt, response, e));
        } else {
            stream(attempt, clientExchange);
        }
    }

    private void onFullAnswer(Attempt attempt, ClientResponse response, byte[] body) {
        if (attempt.finished) {
            return;
        }
        finishAnswered(attempt, response.getResponseHeaders(), body.length);
        BufferedAnswer answer =
                new BufferedAnswer(response.getResponseCode(), callerHeaders(attempt, response), body, true);
        sink.answered(answer, () -> send(exchange, answer));
    }

    private void onAnswerReadFailed(Attempt attempt, ClientResponse response, IOException e) {
        if (e instanceof BodyRejectedException && attempt.finish(AttemptOutcome.ANSWERED)) {
            attempt.connection.ifPresent(connection -> services.connections().discard(connection, false));
            BufferedAnswer tooLarge =
                    new BufferedAnswer(response.getResponseCode(), new HeaderMap(), new byte[0], false);
            sink.answered(tooLarge, () -> services.answers()
                    .refuse(
                            exchange,
                            Refusal.unknown(
                                    RefusalReason.ANSWER_NOT_KEPT, "the answer could not be kept: " + e.getMessage())));
            return;
        }
        onFailed(attempt, e);
    }

    private void stream(Attempt attempt, ClientExchange clientExchange) {
        ClientResponse response = clientExchange.getResponse();
        exchange.setStatusCode(response.getResponseCode());
        exchange.getResponseHeaders().putAll(callerHeaders(attempt, response));
        GatewayHeaders.nameRequest(exchange);
        long lengthBytes = GatewayHeaders.contentLength(response.getResponseHeaders());
        if (lengthBytes >= 0) {
            exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, lengthBytes);
        }
        BodyStreams.streamResponse(
                exchange,
                clientExchange,
                () -> finishAnswered(attempt, response.getResponseHeaders(), Math.max(0, lengthBytes)),
                e -> onStreamFailed(attempt),
                e -> abandon(attempt, false));
    }

    /** Part of the response has been sent, so only closing the connection shows the caller that the rest is missing. */
    private void onStreamFailed(Attempt attempt) {
        if (attempt.finish(AttemptOutcome.FAILED)) {
            services.metrics().counter("gateway.answers.cut").inc();
            attempt.connection.ifPresent(connection -> services.connections().discard(connection, false));
        }
        IoUtils.safeClose(exchange.getConnection());
    }

    private void onShed(Attempt attempt) {
        // Closing the connection fails an attempt that is not finished.
        if (attempt.finish(AttemptOutcome.SHED)) {
            attempt.connection.ifPresent(connection -> services.connections().discard(connection, false));
            excludeEndpoint(attempt);
            Refusal refusal = Refusal.notRun(
                    RefusalReason.UPSTREAM_SHED, attempt.lease.upstream().id());
            retryOrRefuse(attempt, "shed", refusal.withRetryAfterSeconds(1));
        }
    }

    /**
     * Ends an attempt whose response was dropped. It says nothing about the request, which is therefore not suspected of
     * crashing endpoints.
     */
    private void onDropped(Attempt attempt, DropReason reason) {
        services.metrics().counter("gateway.responses.dropped." + reason.key()).inc();
        attempt.finish(AttemptOutcome.FAILED);
        attempt.connection.ifPresent(connection -> services.connections().discard(connection, false));
        earlierAttemptMayHaveRun = true;
        newConnectionsOnly = true;
        // On a reused connection, other responses may be left over from an earlier request.
        if (reason == DropReason.MALFORMED || !attempt.reusedConnection) {
            excludeEndpoint(attempt);
        }
        Refusal refusal = Refusal.unknown(
                RefusalReason.UPSTREAM_FAILED,
                attempt.lease.upstream().id() + ": its response was dropped, reason " + reason.key());
        if (request.route().idempotent()) {
            retryOrRefuse(attempt, "dropped", refusal);
        } else {
            refuse(refusal);
        }
    }

    private void onConnectFailed(Attempt attempt, IOException e) {
        if (attempt.finish(AttemptOutcome.CONNECT_FAILED)) {
            excludeEndpoint(attempt);
            retryOrRefuse(
                    attempt,
                    "connect-failed",
                    Refusal.notRun(
                            RefusalReason.UPSTREAM_CONNECT_FAILED,
                            attempt.lease.upstream().id() + ": " + e.getMessage()));
        }
    }

    /** The caller's request body ended early, so the upstream received an incomplete body. */
    private void onRequestBodyFailed(Attempt attempt, IOException e) {
        if (attempt.finish(AttemptOutcome.NEUTRAL)) {
            attempt.connection.ifPresent(connection -> services.connections().discard(connection, false));
            exchange.setPersistent(false);
            refuse(Refusal.unknown(RefusalReason.BODY_INCOMPLETE, String.valueOf(e.getMessage())));
        }
    }

    private void onFailed(Attempt attempt, IOException e) {
        if (!attempt.finished && attempt.hasMalformedResponse()) {
            onDropped(attempt, DropReason.MALFORMED);
            return;
        }
        if (!attempt.finish(AttemptOutcome.FAILED)) {
            return;
        }
        attempt.connection.ifPresent(connection -> services.connections().discard(connection, false));
        earlierAttemptMayHaveRun = true;
        excludeEndpoint(attempt);
        crashes++;
        services.poison()
                .onCrash(request.fingerprint(), attempt.lease.upstream().id());
        Refusal refusal = Refusal.unknown(
                RefusalReason.UPSTREAM_FAILED, attempt.lease.upstream().id() + ": " + e.getMessage());
        if (request.route().idempotent()) {
            retryOrRefuse(attempt, "failed", refusal);
        } else {
            refuse(refusal);
        }
    }

    /**
     * Excludes the endpoint from further attempts of this request. Not used when a reused connection went silent,
     * because that is not a fault of the endpoint.
     */
    private void excludeEndpoint(Attempt attempt) {
        failedEndpoints.add(attempt.lease.upstream().endpoint());
    }

    private void retryOrRefuse(Attempt attempt, String reason, Refusal refusal) {
        lastRefusal = Optional.of(refusal);
        if (hasAttemptInFlight()) {
            return;
        }
        if (!mayRetry()) {
            refuse(refusal);
            return;
        }
        winnerChosen = false;
        services.metrics().counter("gateway.retries." + reason).inc();
        attempt();
    }

    private boolean hasAttemptInFlight() {
        return attemptsInFlight() > 0;
    }

    private long attemptsInFlight() {
        return startedAttempts.stream().filter(attempt -> !attempt.finished).count();
    }

    private void startTimer(Attempt attempt) {
        long waitMillis = Math.min(SILENCE_TIMEOUT_MILLIS, remainingMillis());
        attempt.timer = Optional.of(
                ioThread.executeAfter(() -> onTimer(attempt), Math.max(1, waitMillis), TimeUnit.MILLISECONDS));
    }

    /**
     * Hedges a request that has no response yet: a reused connection may be dead, so a second attempt is sent on a new
     * connection and the first response wins. On a new connection, the endpoint is assumed to be slow.
     */
    private void onTimer(Attempt attempt) {
        if (attempt.finished) {
            return;
        }
        if (exchange.isResponseStarted()) {
            onTimerWhileStreaming(attempt);
            return;
        }
        if (attempt.connection.isEmpty()) {
            onConnectFailed(attempt, new IOException("no connection within " + SILENCE_TIMEOUT_MILLIS + " ms"));
            return;
        }
        if (remainingMillis() <= 0) {
            List.copyOf(startedAttempts).forEach(each -> {
                if (each.finish(AttemptOutcome.FAILED)) {
                    each.connection.ifPresent(
                            connection -> services.connections().discard(connection, true));
                }
            });
            refuse(Refusal.unknown(RefusalReason.DEADLINE_EXCEEDED, "no answer before the deadline"));
            return;
        }
        startTimer(attempt);
        boolean possiblySilent = attempt.reusedConnection && request.route().idempotent() && attemptsInFlight() == 1;
        if (possiblySilent && mayRetry()) {
            services.metrics().counter("gateway.retries.silent").inc();
            attempt();
        }
    }

    /** Aborts a stalled response at the deadline, so that it does not occupy the caller and the slot indefinitely. */
    private void onTimerWhileStreaming(Attempt attempt) {
        if (remainingMillis() <= 0) {
            onStreamFailed(attempt);
        } else {
            startTimer(attempt);
        }
    }

    private boolean mayRetry() {
        return attemptCount < MAX_ATTEMPTS
                && crashes <= MAX_CRASH_RETRIES
                && !bodyConsumed
                && remainingMillis() > 0
                && !exchange.isResponseStarted()
                && services.retries().tryRetry();
    }

    private void abandon(Attempt attempt, boolean silent) {
        if (attempt.finish(AttemptOutcome.NEUTRAL)) {
            attempt.connection.ifPresent(connection -> services.connections().discard(connection, silent));
        }
    }

    /**
     * Abandons all other attempts after the first response. A reused connection that had no response by then is treated
     * as silent.
     */
    private void chooseWinner(Attempt winner) {
        winnerChosen = true;
        for (Attempt other : List.copyOf(startedAttempts)) {
            if (other != winner) {
                abandon(other, other.reusedConnection);
            }
        }
    }

    private void refuse(Refusal refusal) {
        RunState runState = earlierAttemptMayHaveRun ? RunState.UNKNOWN : refusal.runState();
        Refusal reported = new Refusal(refusal.reason(), refusal.detail(), runState, refusal.retryAfterSeconds());
        sink.refused(reported, () -> services.answers().refuse(exchange, reported));
    }

    private void finishAnswered(Attempt attempt, HeaderMap headers, long answerBytes) {
        if (!attempt.finish(AttemptOutcome.ANSWERED, request.body().length + answerBytes)) {
            return;
        }
        if (services.poison().hasSuspects()) {
            services.poison().onAnswer(request.fingerprint());
        }
        services.metrics().meter("gateway.answers").mark();
        boolean close = "close".equalsIgnoreCase(headers.getFirst(Headers.CONNECTION));
        attempt.connection.ifPresent(connection -> {
            if (close || !attempt.named) {
                services.connections().discard(connection, false);
            } else {
                // Bytes that have arrived behind the response are found first, by a task that is queued already, and
                // close it.
                ioThread.execute(() -> services.connections().returnToPool(connection, ioThread));
            }
        });
    }

    private HeaderMap callerHeaders(Attempt attempt, ClientResponse response) {
        HeaderMap headers = new HeaderMap();
        GatewayHeaders.copyEndToEnd(response.getResponseHeaders(), headers);
        headers.remove(GatewayHeaders.REQUEST_ID);
        headers.put(GatewayHeaders.UPSTREAM, attempt.lease.upstream().endpoint());
        if (!request.method().equals(Methods.HEAD)) {
            headers.remove(Headers.CONTENT_LENGTH);
        }
        return headers;
    }

    /** Sends a buffered answer to the caller; does nothing if the request was given up before. */
    static void send(HttpServerExchange exchange, BufferedAnswer answer) {
        if (exchange.isResponseStarted() || exchange.isComplete()) {
            return;
        }
        exchange.setStatusCode(answer.status());
        exchange.getResponseHeaders().putAll(answer.headers());
        GatewayHeaders.nameRequest(exchange);
        if (answer.body().length == 0) {
            exchange.endExchange();
            return;
        }
        exchange.getResponseSender().send(ByteBuffer.wrap(answer.body()));
    }

    private long remainingMillis() {
        return request.deadlineMillis() - services.time().monotonicMillis();
    }
}
