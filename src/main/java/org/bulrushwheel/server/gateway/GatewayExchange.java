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
import org.bulrushwheel.server.HttpAnswers;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * The attempts of one request.
 *
 * <p>Invariants: at most one attempt is under way, or two while a reused connection is suspected of silence; an attempt
 * that may have run is repeated only when the route is idempotent and nothing of an answer has gone to the caller; the
 * caller sees the answer of exactly one attempt.
 * Confined to the I/O thread of the exchange.
 */
final class GatewayExchange {
    private static final int MAX_ATTEMPTS = 4;
    private static final int MAX_CRASH_RETRIES = 1;
    private static final long SILENCE_MILLIS = 2_000;

    private final HttpServerExchange exchange;
    private final GatewayRequest request;
    private final GatewayServices services;
    private final boolean streamed;
    private final XnioIoThread thread;
    private final Set<String> failedEndpoints = new HashSet<>();

    private AnswerSink sink = AnswerSink.DIRECT;
    private int attempts;
    private boolean won;
    private int crashes;
    private Optional<Refusal> lastRefusal = Optional.empty();
    private boolean earlierAttemptMayHaveRun;
    private boolean bodyConsumed;
    private final List<Attempt> running = new ArrayList<>();

    GatewayExchange(HttpServerExchange exchange, GatewayRequest request, GatewayServices services, boolean streamed) {
        this.exchange = exchange;
        this.request = request;
        this.services = services;
        this.streamed = streamed;
        this.thread = exchange.getIoThread();
    }

    /** One dispatch to one endpoint. */
    private static final class Attempt {
        private final SlotLease lease;
        private Optional<PooledConnection> connection = Optional.empty();
        private Optional<XnioExecutor.Key> timer = Optional.empty();
        private boolean reusedConnection;
        private boolean finished;

        Attempt(SlotLease lease) {
            this.lease = lease;
        }

        /** Ends the attempt once; false when it had ended before. */
        boolean finish(AttemptOutcome outcome) {
            return finish(outcome, 0);
        }

        boolean finish(AttemptOutcome outcome, long bytes) {
            if (finished) {
                return false;
            }
            finished = true;
            timer.ifPresent(XnioExecutor.Key::remove);
            lease.release(outcome, bytes);
            return true;
        }
    }

    /** Starts; the end goes through the sink. */
    void run(AnswerSink answerSink) {
        sink = answerSink;
        if (request.route().idempotent()) {
            exchange.addExchangeCompleteListener((done, next) -> {
                List.copyOf(running).forEach(attempt -> abandon(attempt, false));
                next.proceed();
            });
        }
        attempt();
    }

    private void attempt() {
        if (services.poison().hasSuspects() && services.poison().isPoison(request.fingerprint())) {
            refuse(Refusal.notRun(RefusalReason.POISON_REQUEST, request.service()));
            return;
        }
        attempts++;
        SlotQuery query = new SlotQuery(request.service(), failedEndpoints, request.deadlineMillis());
        services.slots().acquire(query).thenAccept(result -> thread.execute(() -> onSlot(result)));
    }

    private void onSlot(Either<Refusal, SlotLease> result) {
        if (result.isLeft()) {
            if (!isAnotherRunning() && !won) {
                refuse(lastRefusal.orElse(result.getLeft()));
            }
            return;
        }
        if (won) {
            result.get().release(AttemptOutcome.NEUTRAL, 0);
            return;
        }
        boolean freshOnly = !request.route().idempotent() || streamed || isAnotherRunning();
        Attempt attempt = new Attempt(result.get());
        running.add(attempt);
        if (exchange.isComplete() || remainingMillis() <= 0) {
            attempt.finish(AttemptOutcome.NEUTRAL);
            refuse(Refusal.notRun(RefusalReason.DEADLINE_EXCEEDED, "before the request was sent"));
            return;
        }
        startTimer(attempt);
        services.connections()
                .checkout(
                        attempt.lease.upstream(),
                        thread,
                        exchange.getConnection().getByteBufferPool(),
                        freshOnly,
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
        attempt.connection = Optional.of(connection);
        attempt.reusedConnection = connection.reused();
        bodyConsumed = bodyConsumed || streamed;
        connection.connection().sendRequest(upstreamRequest(), new ClientCallback<>() {
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

    private ClientRequest upstreamRequest() {
        ClientRequest upstreamRequest =
                new ClientRequest().setMethod(request.method()).setPath(request.path());
        HeaderMap headers = upstreamRequest.getRequestHeaders();
        GatewayHeaders.copyEndToEnd(request.headers(), headers);
        headers.put(GatewayHeaders.FORWARDED_BY, services.instance());
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
                    exchange, clientExchange, e -> onCallerFailed(attempt, e), e -> onFailed(attempt, e));
            return;
        }
        BodyStreams.write(clientExchange.getRequestChannel(), request.body(), e -> onFailed(attempt, e));
    }

    private void onResponse(Attempt attempt, ClientExchange clientExchange) {
        if (attempt.finished) {
            return;
        }
        ClientResponse response = clientExchange.getResponse();
        HeaderMap headers = response.getResponseHeaders();
        long lengthBytes = lengthOf(headers);
        boolean small = lengthBytes >= 0 && lengthBytes <= GatewayHandler.MAX_BUFFERED_BODY_BYTES;
        boolean bodyless = request.method().equals(Methods.HEAD);
        if (isNotRun(response)) {
            onShed(attempt);
            return;
        }
        win(attempt);
        if (small || bodyless || sink.wantsWholeAnswer()) {
            int maxBytes = sink.wantsWholeAnswer()
                    ? GatewayHandler.MAX_ONCE_BODY_BYTES
                    : GatewayHandler.MAX_BUFFERED_BODY_BYTES;
            BodyReader.read(
                    clientExchange.getResponseChannel(),
                    exchange.getConnection().getByteBufferPool(),
                    maxBytes,
                    body -> onWholeAnswer(attempt, response, body),
                    e -> onAnswerBroken(attempt, response, e));
        } else {
            stream(attempt, clientExchange);
        }
    }

    private void onWholeAnswer(Attempt attempt, ClientResponse response, byte[] body) {
        if (attempt.finished) {
            return;
        }
        finishAnswered(attempt, response.getResponseHeaders(), body.length);
        BufferedAnswer answer =
                new BufferedAnswer(response.getResponseCode(), callerHeaders(attempt, response), body, true);
        sink.answered(answer, () -> send(exchange, answer));
    }

    private void onAnswerBroken(Attempt attempt, ClientResponse response, IOException e) {
        if (e instanceof BodyTooLargeException && attempt.finish(AttemptOutcome.ANSWERED)) {
            attempt.connection.ifPresent(connection -> services.connections().discard(connection, false));
            BufferedAnswer tooLarge =
                    new BufferedAnswer(response.getResponseCode(), new HeaderMap(), new byte[0], false);
            sink.answered(tooLarge, () -> services.answers()
                    .refuse(
                            exchange,
                            Refusal.unknown(RefusalReason.ANSWER_NOT_KEPT, "the answer is larger than what is kept")));
            return;
        }
        onFailed(attempt, e);
    }

    private void stream(Attempt attempt, ClientExchange clientExchange) {
        ClientResponse response = clientExchange.getResponse();
        exchange.setStatusCode(response.getResponseCode());
        exchange.getResponseHeaders().putAll(callerHeaders(attempt, response));
        long lengthBytes = lengthOf(response.getResponseHeaders());
        if (lengthBytes >= 0) {
            exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, lengthBytes);
        }
        BodyStreams.streamResponse(
                exchange,
                clientExchange,
                () -> finishAnswered(attempt, response.getResponseHeaders(), Math.max(0, lengthBytes)),
                e -> onStreamBroken(attempt),
                e -> abandon(attempt, false));
    }

    /** Part of the answer has gone out: only a reset tells the caller that the rest is missing. */
    private void onStreamBroken(Attempt attempt) {
        if (attempt.finish(AttemptOutcome.FAILED)) {
            services.metrics().counter("gateway.answers.cut").inc();
            attempt.connection.ifPresent(connection -> services.connections().discard(connection, false));
        }
        IoUtils.safeClose(exchange.getConnection());
    }

    private void onShed(Attempt attempt) {
        attempt.connection.ifPresent(connection -> services.connections().discard(connection, false));
        if (attempt.finish(AttemptOutcome.SHED)) {
            exclude(attempt);
            Refusal refusal = Refusal.notRun(
                    RefusalReason.UPSTREAM_SHED, attempt.lease.upstream().id());
            retryOr(attempt, "shed", refusal.withRetryAfterSeconds(1));
        }
    }

    private void onConnectFailed(Attempt attempt, IOException e) {
        if (attempt.finish(AttemptOutcome.CONNECT_FAILED)) {
            exclude(attempt);
            retryOr(
                    attempt,
                    "connect-failed",
                    Refusal.notRun(
                            RefusalReason.UPSTREAM_CONNECT_FAILED,
                            attempt.lease.upstream().id() + ": " + e.getMessage()));
        }
    }

    /** The caller's body ended early: what the upstream got of it is not whole. */
    private void onCallerFailed(Attempt attempt, IOException e) {
        if (attempt.finish(AttemptOutcome.NEUTRAL)) {
            attempt.connection.ifPresent(connection -> services.connections().discard(connection, false));
            exchange.setPersistent(false);
            refuse(Refusal.unknown(RefusalReason.BODY_INCOMPLETE, String.valueOf(e.getMessage())));
        }
    }

    private void onFailed(Attempt attempt, IOException e) {
        if (!attempt.finish(AttemptOutcome.FAILED)) {
            return;
        }
        attempt.connection.ifPresent(connection -> services.connections().discard(connection, false));
        earlierAttemptMayHaveRun = true;
        exclude(attempt);
        crashes++;
        services.poison()
                .onCrash(request.fingerprint(), attempt.lease.upstream().id());
        Refusal refusal = Refusal.unknown(
                RefusalReason.UPSTREAM_FAILED, attempt.lease.upstream().id() + ": " + e.getMessage());
        if (request.route().idempotent()) {
            retryOr(attempt, "failed", refusal);
        } else {
            refuse(refusal);
        }
    }

    /** Another endpoint is to be tried next; one whose connection went silent is not at fault itself. */
    private void exclude(Attempt attempt) {
        failedEndpoints.add(attempt.lease.upstream().endpoint());
    }

    private void retryOr(Attempt attempt, String reason, Refusal refusal) {
        lastRefusal = Optional.of(refusal);
        if (isAnotherRunning()) {
            return;
        }
        if (!mayRetry()) {
            refuse(refusal);
            return;
        }
        won = false;
        services.metrics().counter("gateway.retries." + reason).inc();
        attempt();
    }

    private boolean isAnotherRunning() {
        return running.stream().anyMatch(attempt -> !attempt.finished);
    }

    private void startTimer(Attempt attempt) {
        long waitMillis = Math.min(SILENCE_MILLIS, remainingMillis());
        attempt.timer = Optional.of(
                thread.executeAfter(() -> onTimer(attempt), Math.max(1, waitMillis), TimeUnit.MILLISECONDS));
    }

    /**
     * A connection that was open before may have gone silent, so a second attempt goes out on a new one and the first
     * that answers wins. On a new connection the endpoint is merely slow.
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
            onConnectFailed(attempt, new IOException("no connection within " + SILENCE_MILLIS + " ms"));
            return;
        }
        if (remainingMillis() <= 0) {
            List.copyOf(running).forEach(each -> {
                if (each.finish(AttemptOutcome.FAILED)) {
                    each.connection.ifPresent(
                            connection -> services.connections().discard(connection, true));
                }
            });
            refuse(Refusal.unknown(RefusalReason.DEADLINE_EXCEEDED, "no answer in time"));
            return;
        }
        startTimer(attempt);
        boolean suspicious = attempt.reusedConnection && request.route().idempotent() && running.size() == 1;
        if (suspicious && mayRetry()) {
            services.metrics().counter("gateway.retries.silent").inc();
            attempt();
        }
    }

    /** An answer that stalls on its way is cut at the deadline, so that it cannot hold the caller and the slot for good. */
    private void onTimerWhileStreaming(Attempt attempt) {
        if (remainingMillis() <= 0) {
            onStreamBroken(attempt);
        } else {
            startTimer(attempt);
        }
    }

    private boolean mayRetry() {
        return attempts < MAX_ATTEMPTS
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

    /** The first attempt that answers wins; a reused connection that a new one has overtaken was silent. */
    private void win(Attempt winner) {
        won = true;
        for (Attempt other : List.copyOf(running)) {
            if (other != winner) {
                abandon(other, other.reusedConnection);
            }
        }
    }

    private void refuse(Refusal refusal) {
        RunState runState = earlierAttemptMayHaveRun ? RunState.UNKNOWN : refusal.runState();
        Refusal truthful = new Refusal(refusal.reason(), refusal.detail(), runState, refusal.retryAfterSeconds());
        sink.refused(truthful, () -> services.answers().refuse(exchange, truthful));
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
            if (close) {
                services.connections().discard(connection, false);
            } else {
                services.connections().giveBack(connection, thread);
            }
        });
    }

    private HeaderMap callerHeaders(Attempt attempt, ClientResponse response) {
        HeaderMap headers = new HeaderMap();
        GatewayHeaders.copyEndToEnd(response.getResponseHeaders(), headers);
        headers.put(GatewayHeaders.UPSTREAM, attempt.lease.upstream().endpoint());
        if (!request.method().equals(Methods.HEAD)) {
            headers.remove(Headers.CONTENT_LENGTH);
        }
        return headers;
    }

    /** Sends a buffered answer to the caller. */
    static void send(HttpServerExchange exchange, BufferedAnswer answer) {
        exchange.setStatusCode(answer.status());
        exchange.getResponseHeaders().putAll(answer.headers());
        if (answer.body().length == 0) {
            exchange.endExchange();
            return;
        }
        exchange.getResponseSender().send(ByteBuffer.wrap(answer.body()));
    }

    private static boolean isNotRun(ClientResponse response) {
        String runState = response.getResponseHeaders().getFirst(HttpAnswers.RUN_STATE_HEADER);
        return RunState.NOT_RUN.headerValue().equals(runState);
    }

    private static long lengthOf(HeaderMap headers) {
        String length = headers.getFirst(Headers.CONTENT_LENGTH);
        return length == null ? -1 : Long.parseLong(length);
    }

    private long remainingMillis() {
        return request.deadlineMillis() - services.time().monotonicMillis();
    }
}
