package org.bulrushwheel.server;

import java.util.concurrent.TimeUnit;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import org.bulrushwheel.model.refusal.Refusal;
import org.bulrushwheel.model.refusal.RefusalReason;

/**
 * Counts in-flight requests and refuses new requests after it has been closed.
 *
 * <p>Invariant: an admitted request is counted until its exchange is complete. Thread safe: guarded by itself.
 */
final class DrainGate implements HttpHandler {
    private final HttpHandler next;
    private final HttpAnswers answers;
    private int inFlight;
    private boolean closed;

    DrainGate(HttpHandler next, HttpAnswers answers) {
        this.next = next;
        this.answers = answers;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        if (!tryEnter()) {
            exchange.setPersistent(false);
            answers.refuse(exchange, Refusal.notRun(RefusalReason.INSTANCE_DRAINING, "this instance is shutting down"));
            return;
        }
        exchange.addExchangeCompleteListener((done, listener) -> {
            leave();
            listener.proceed();
        });
        next.handleRequest(exchange);
    }

    synchronized void close() {
        closed = true;
    }

    /** Waits until no request is in flight; returns false if requests are still in flight at the deadline. */
    synchronized boolean awaitEmpty(long deadlineNanos) throws InterruptedException {
        while (inFlight > 0) {
            long remainingNanos = deadlineNanos - System.nanoTime();
            if (remainingNanos <= 0) {
                return false;
            }
            TimeUnit.NANOSECONDS.timedWait(this, remainingNanos);
        }
        return true;
    }

    synchronized int inFlight() {
        return inFlight;
    }

    private synchronized boolean tryEnter() {
        if (closed) {
            return false;
        }
        inFlight++;
        return true;
    }

    private synchronized void leave() {
        inFlight--;
        if (inFlight == 0) {
            notifyAll();
        }
    }
}
