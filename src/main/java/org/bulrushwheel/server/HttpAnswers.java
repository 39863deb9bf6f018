package org.bulrushwheel.server;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.bulrushwheel.model.refusal.Refusal;
import org.bulrushwheel.model.refusal.RefusalReason;
import org.xnio.IoUtils;
import org.xnio.conduits.StreamSinkConduit;

/**
 * Writes JSON responses and refusals.
 *
 * <p>Invariant: a connection ends or carries on within a bounded time behind a response, however long its request is. Thread
 * safe.
 */
public final class HttpAnswers {
    /** Header with the reason of a refusal. */
    public static final HttpString REFUSAL_HEADER = new HttpString("Bulrushwheel-Refusal");

    /** Header that states whether a refused request may have run: not-run or unknown. */
    public static final HttpString RUN_STATE_HEADER = new HttpString("Bulrushwheel-Run-State");

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String JSON_TYPE = "application/json";
    // Time for the caller to read the response before the connection is closed with bytes unread.
    private static final long DISCARD_MILLIS = 1_000;

    private final MetricRegistry metrics;

    /** Creates a writer that counts refusals in a metric registry. */
    public HttpAnswers(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    private record RefusalBody(String reason, String detail, String remedy, String runState) {}

    /** Writes a refusal and counts it by reason; does nothing if the response has already started. */
    public void refuse(HttpServerExchange exchange, Refusal refusal) {
        respond(exchange, () -> {
            if (!exchange.isResponseStarted() && !exchange.isComplete()) {
                writeRefusal(exchange, refusal);
            }
        });
    }

    private void writeRefusal(HttpServerExchange exchange, Refusal refusal) {
        metrics.counter("refusals." + refusal.reason().wireName()).inc();
        exchange.getResponseHeaders().put(REFUSAL_HEADER, refusal.reason().wireName());
        exchange.getResponseHeaders().put(RUN_STATE_HEADER, refusal.runState().headerValue());
        if (refusal.retryAfterSeconds() > 0) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, refusal.retryAfterSeconds());
        }
        RefusalBody body = new RefusalBody(
                refusal.reason().wireName(),
                refusal.detail(),
                refusal.reason().remedy(),
                refusal.runState().headerValue());
        write(exchange, refusal.reason().httpStatus(), JSON_TYPE, toJson(body));
    }

    /** Refuses a request since its body could not be received. */
    public void refuseBody(HttpServerExchange exchange, IOException error) {
        RefusalReason reason =
                error instanceof BodyRejectedException unheld ? unheld.reason() : RefusalReason.BODY_INCOMPLETE;
        Refusal refusal = Refusal.notRun(reason, "the body was not received: " + error.getMessage());
        refuse(exchange, reason == RefusalReason.NO_ROOM ? refusal.withRetryAfterSeconds(1) : refusal);
    }

    /** Writes a value as a JSON response. */
    public void json(HttpServerExchange exchange, int status, Object value) {
        byte[] body = toJson(value);
        respond(exchange, () -> write(exchange, status, JSON_TYPE, body));
    }

    /** Writes a plain-text response. */
    public void text(HttpServerExchange exchange, int status, String text) {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        respond(exchange, () -> write(exchange, status, "text/plain; charset=utf-8", body));
    }

    private static void respond(HttpServerExchange exchange, Runnable response) {
        if (exchange.isRequestComplete()) {
            response.run();
        } else {
            // Undertow cannot discard a body within the call of a handler that has dispatched.
            exchange.dispatch(exchange.getIoThread(), () -> respondToUnread(exchange, response));
        }
    }

    /**
     * Writes a response whose request has not been read to its end, and closes the connection a little later if the body has
     * not ended by then. In the meantime it is discarded: if the connection were closed with bytes unread, the caller could
     * lose the response.
     */
    private static void respondToUnread(HttpServerExchange exchange, Runnable response) {
        boolean persistent = exchange.isPersistent();
        // Undertow would close the connection at once behind a response that says so.
        exchange.addResponseWrapper((head, responding) -> {
            StreamSinkConduit sink = head.create();
            responding.setPersistent(true);
            return sink;
        });
        exchange.addExchangeCompleteListener((completed, next) -> {
            completed.setPersistent(persistent);
            next.proceed();
        });
        response.run();
        closeUnlessEnded(exchange, persistent);
    }

    private static void closeUnlessEnded(HttpServerExchange exchange, boolean persistent) {
        Runnable close = () -> {
            if (!persistent || !exchange.isComplete()) {
                IoUtils.safeClose(exchange.getConnection());
            }
        };
        try {
            exchange.getIoThread().executeAfter(close, DISCARD_MILLIS, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            // The server stops, which closes its connections.
        }
    }

    private static void write(HttpServerExchange exchange, int status, String type, byte[] body) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
        exchange.getResponseSender().send(ByteBuffer.wrap(body));
    }

    private static byte[] toJson(Object value) {
        try {
            return JSON.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write " + value.getClass() + " as JSON", e);
        }
    }
}
