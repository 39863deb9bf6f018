package org.bulrushwheel.server.edge;

import java.util.function.BooleanSupplier;

import io.netty.util.concurrent.Future;
import org.bulrushwheel.model.traffic.TrafficRoute;
import org.jspecify.annotations.Nullable;

/**
 * Deadline of one request, and the timer that ends it.
 *
 * <p>Invariants: the deadline of a request never changes, also if its answer has begun or a configuration changes the
 * time of its route meanwhile; nothing is called after {@link #cancel}. Not thread safe: confined to one event loop.
 */
final class RequestDeadline {
    // Grace period after the deadline for a response that the endpoint sent at the deadline and that is still in
    // transit.
    private static final long ANSWER_GRACE_MILLIS = 100;

    private final EdgeContext context;
    private final CallerRequest request;
    private final BooleanSupplier inFlight;
    private final Runnable reachedAction;
    private long deadlineMillis;
    private @Nullable Future<?> timer;

    /**
     * Creates a deadline that has not begun.
     *
     * @param inFlight whether an endpoint has the request
     * @param reachedAction called at the deadline, or a grace period later if an endpoint has the request
     */
    RequestDeadline(EdgeContext context, CallerRequest request, BooleanSupplier inFlight, Runnable reachedAction) {
        this.context = context;
        this.request = request;
        this.inFlight = inFlight;
        this.reachedAction = reachedAction;
    }

    /** Sets the caller's time or that of the route, whichever is shorter; {@link #check} starts the timer. */
    void begin(TrafficRoute route) {
        long timeoutMillis = request.millisHeader(context.headerNames().deadlineMillis())
                .map(callerTimeoutMillis -> Math.min(callerTimeoutMillis, route.timeoutMillis()))
                .orElse(route.timeoutMillis());
        deadlineMillis = request.receivedMillis() + timeoutMillis;
    }

    /** Returns the monotonic time of the deadline in milliseconds. */
    long millis() {
        return deadlineMillis;
    }

    long remainingMillis() {
        return deadlineMillis - context.nowMillis();
    }

    /** Returns the monotonic time in milliseconds until which the caller waits; that of the route if it has named none. */
    long callerMillis() {
        return request.millisHeader(context.headerNames().deadlineMillis())
                .map(callerTimeoutMillis -> request.receivedMillis() + callerTimeoutMillis)
                .orElse(deadlineMillis);
    }

    /** Ends the request if the deadline has been reached, and sets the timer otherwise. */
    void check() {
        cancel();
        long graceMillis = inFlight.getAsBoolean() ? ANSWER_GRACE_MILLIS : 0;
        if (remainingMillis() > 0) {
            timer = context.runAfter(remainingMillis(), this::check);
        } else if (remainingMillis() + graceMillis > 0) {
            timer = context.runAfter(remainingMillis() + graceMillis, this::check);
        } else {
            reachedAction.run();
        }
    }

    void cancel() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }
}
