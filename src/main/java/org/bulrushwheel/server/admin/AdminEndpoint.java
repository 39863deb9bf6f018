package org.bulrushwheel.server.admin;

import java.util.Map;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import io.vavr.control.Either;
import org.bulrushwheel.logic.budget.RateLimiter;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.refusal.Refusal;
import org.bulrushwheel.model.refusal.RefusalReason;
import org.bulrushwheel.server.HttpAnswers;

/**
 * Handles one path of the administration API: limits the rate of requests without a recently authenticated token, reads
 * the body, authenticates the operator and checks the role.
 *
 * <p>Thread safe.
 */
final class AdminEndpoint implements HttpHandler {
    private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;

    private final Map<HttpString, Method> methods;
    private final Authorizer authorizer;
    private final RateLimiter limiter;
    private final TimeSource time;
    private final HttpAnswers answers;

    /**
     * Required role and implementation of an HTTP method.
     *
     * @param role minimum role of the operator
     * @param call implementation of the method
     */
    record Method(Operator.Role role, AdminCall call) {}

    AdminEndpoint(
            Map<HttpString, Method> methods,
            Authorizer authorizer,
            RateLimiter limiter,
            TimeSource time,
            HttpAnswers answers) {
        this.methods = Map.copyOf(methods);
        this.authorizer = authorizer;
        this.limiter = limiter;
        this.time = time;
        this.answers = answers;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        Method method = methods.get(exchange.getRequestMethod());
        if (method == null) {
            refuse(exchange, RefusalReason.MALFORMED_REQUEST, "the method must be one of " + methods.keySet());
            return;
        }
        if (!authorizer.isRecentlyAuthenticated(exchange) && !tryAcquirePermit()) {
            refuse(
                    exchange,
                    RefusalReason.RATE_LIMITED,
                    "too many requests to the administration API of this instance");
            return;
        }
        exchange.getRequestReceiver().setMaxBufferSize(MAX_BODY_BYTES);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (received, body) ->
                                received.dispatch(SameThreadExecutor.INSTANCE, () -> authorize(received, method, body)),
                        (failed, error) -> refuse(
                                failed,
                                error instanceof RequestTooBigException
                                        ? RefusalReason.BODY_TOO_LARGE
                                        : RefusalReason.BODY_INCOMPLETE,
                                "the body was not received: " + error.getMessage()));
    }

    private boolean tryAcquirePermit() {
        synchronized (limiter) {
            return limiter.tryAcquire(time.monotonicMillis());
        }
    }

    private void authorize(HttpServerExchange exchange, Method method, byte[] body) {
        authorizer.operatorOf(exchange).thenAccept(operator -> exchange.getIoThread()
                .execute(() -> call(exchange, method, operator, body)));
    }

    private void call(
            HttpServerExchange exchange, Method method, Either<RefusalReason, Operator> operator, byte[] body) {
        if (operator.isLeft()) {
            refuse(exchange, operator.getLeft(), "the operator could not be authenticated");
        } else if (!operator.get().mayActAs(method.role())) {
            refuse(exchange, RefusalReason.FORBIDDEN, "the role must be at least " + method.role());
        } else {
            method.call().handle(exchange, operator.get(), body);
        }
    }

    private void refuse(HttpServerExchange exchange, RefusalReason reason, String detail) {
        answers.refuse(exchange, Refusal.notRun(reason, detail));
    }
}
