package org.bulrushwheel.server.admin;

import java.util.Map;
import java.util.Optional;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import org.bulrushwheel.logic.budget.RateLimiter;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.refusal.Refusal;
import org.bulrushwheel.model.refusal.RefusalReason;
import org.bulrushwheel.server.HttpAnswers;

/**
 * A path of the administration API: bounds the rate of whoever is no operator, reads the body, finds the operator and
 * checks the role.
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
     * What a method needs and does.
     *
     * @param role least role
     * @param call the work
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
        if (!authorizer.isKnown(exchange) && !admits()) {
            refuse(exchange, RefusalReason.RATE_LIMITED, "the administration API of this instance is busy");
            return;
        }
        exchange.getRequestReceiver().setMaxBufferSize(MAX_BODY_BYTES);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (ready, body) ->
                                ready.dispatch(SameThreadExecutor.INSTANCE, () -> authorize(ready, method, body)),
                        (failed, error) ->
                                refuse(failed, RefusalReason.BODY_INCOMPLETE, "the body is cut short or too large"));
    }

    private boolean admits() {
        synchronized (limiter) {
            return limiter.tryAcquire(time.monotonicMillis());
        }
    }

    private void authorize(HttpServerExchange exchange, Method method, byte[] body) {
        authorizer.operatorOf(exchange).thenAccept(operator -> exchange.getIoThread()
                .execute(() -> call(exchange, method, operator, body)));
    }

    private void call(HttpServerExchange exchange, Method method, Optional<Operator> operator, byte[] body) {
        if (operator.isEmpty()) {
            refuse(exchange, RefusalReason.UNAUTHORIZED, "no operator has this token");
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
