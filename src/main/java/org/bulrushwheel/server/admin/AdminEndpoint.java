package org.bulrushwheel.server.admin;

import java.util.Map;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import io.vavr.control.Either;
import org.bulrushwheel.kernel.ByteBudget;
import org.bulrushwheel.logic.budget.RateLimiter;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.refusal.Refusal;
import org.bulrushwheel.model.refusal.RefusalReason;
import org.bulrushwheel.server.BodyReader;
import org.bulrushwheel.server.HttpAnswers;

/**
 * Handles one path of the administration API: limits the rate of requests without a recently authenticated token,
 * authenticates the operator, checks the role and reads the body.
 *
 * <p>Invariant: nothing of a body is read for a caller who may not make the call. Thread safe.
 */
final class AdminEndpoint implements HttpHandler {
    // Covers a document of some MB over a link that others use too.
    private static final long MAX_BODY_MILLIS = 30_000;

    private final Map<HttpString, Method> methods;
    private final Authorizer authorizer;
    private final ByteBudget bodies;
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
            ByteBudget bodies,
            RateLimiter limiter,
            TimeSource time,
            HttpAnswers answers) {
        this.methods = Map.copyOf(methods);
        this.authorizer = authorizer;
        this.bodies = bodies;
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
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> authorize(exchange, method));
    }

    private boolean tryAcquirePermit() {
        synchronized (limiter) {
            return limiter.tryAcquire(time.monotonicMillis());
        }
    }

    private void authorize(HttpServerExchange exchange, Method method) {
        authorizer.operatorOf(exchange).thenAccept(operator -> exchange.getIoThread()
                .execute(() -> read(exchange, method, operator)));
    }

    private void read(HttpServerExchange exchange, Method method, Either<RefusalReason, Operator> operator) {
        if (operator.isLeft()) {
            refuse(exchange, operator.getLeft(), "the operator could not be authenticated");
        } else if (!operator.get().mayActAs(method.role())) {
            refuse(exchange, RefusalReason.FORBIDDEN, "the role must be at least " + method.role());
        } else {
            BodyReader.readRequest(
                    exchange,
                    bodies,
                    (int) bodies.limitBytes(),
                    MAX_BODY_MILLIS,
                    body -> method.call().handle(exchange, operator.get(), body),
                    error -> answers.refuseBody(exchange, error));
        }
    }

    private void refuse(HttpServerExchange exchange, RefusalReason reason, String detail) {
        answers.refuse(exchange, Refusal.notRun(reason, detail));
    }
}
