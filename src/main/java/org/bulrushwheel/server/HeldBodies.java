package org.bulrushwheel.server;

import java.util.ArrayList;
import java.util.List;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import org.bulrushwheel.kernel.BudgetedBody;
import org.bulrushwheel.kernel.ByteBudget;
import org.jspecify.annotations.Nullable;

/**
 * Bodies that are held for the exchange of one connection.
 *
 * <p>Invariant: the bodies are released when the exchange is complete, or when its connection is closed behind the start of
 * its response; without one, the work on the request goes on and still needs them. Not thread safe: confined to the I/O
 * thread of the connection.
 */
public final class HeldBodies {
    // Small bodies pass while the budget is spent: they need no more memory than the head of their request.
    private static final int FREE_BYTES = 4 * 1024;
    private static final AttachmentKey<HeldBodies> KEY = AttachmentKey.create(HeldBodies.class);

    private final List<BudgetedBody> bodies = new ArrayList<>();
    private @Nullable HttpServerExchange exchange;

    private HeldBodies() {}

    /**
     * Returns an empty body that is held for the exchange.
     *
     * @param maxBytes length that is accepted
     * @param declaredBytes length that the sender has named, at most 0 if it has not
     */
    public static BudgetedBody hold(HttpServerExchange exchange, ByteBudget budget, int maxBytes, long declaredBytes) {
        BudgetedBody body = new BudgetedBody(budget, maxBytes, FREE_BYTES, Math.max(0, declaredBytes));
        HeldBodies held = of(exchange.getConnection());
        if (exchange.isComplete()) {
            body.release();
            return body;
        }
        if (held.bodies.isEmpty()) {
            exchange.addExchangeCompleteListener((done, next) -> {
                held.release();
                next.proceed();
            });
        }
        held.exchange = exchange;
        held.bodies.add(body);
        return body;
    }

    private static HeldBodies of(ServerConnection connection) {
        HeldBodies present = connection.getAttachment(KEY);
        if (present != null) {
            return present;
        }
        HeldBodies created = new HeldBodies();
        connection.putAttachment(KEY, created);
        connection.addCloseListener(closed -> created.onClosed());
        return created;
    }

    private void onClosed() {
        if (exchange != null && exchange.isResponseStarted()) {
            release();
        }
    }

    private void release() {
        bodies.forEach(BudgetedBody::release);
        bodies.clear();
    }
}
