package org.bulrushwheel.server.gateway;

import java.util.Optional;

import org.xnio.XnioExecutor;

/**
 * One attempt at one endpoint.
 *
 * <p>Invariant: its lease is released exactly once, when it finishes. Confined to the I/O thread of its exchange.
 */
final class Attempt {
    final SlotLease lease;
    final String id;
    final SlotWait wait;
    final long leasedMillis;
    Optional<PooledConnection> connection = Optional.empty();
    Optional<XnioExecutor.Key> timer = Optional.empty();
    boolean reusedConnection;
    boolean named;
    boolean finished;

    /**
     * Creates an attempt that has not been sent.
     *
     * @param lease slot at the endpoint
     * @param id ID under which the attempt is sent, which its response names
     * @param wait wait that the lease has ended
     * @param leasedMillis monotonic time in milliseconds at which the request got the lease
     */
    Attempt(SlotLease lease, String id, SlotWait wait, long leasedMillis) {
        this.lease = lease;
        this.id = id;
        this.wait = wait;
        this.leasedMillis = leasedMillis;
    }

    /** Whether the attempt got a response that is not HTTP/1.1. */
    boolean hasMalformedResponse() {
        return connection.filter(each -> each.source().isMalformed()).isPresent();
    }

    /** Finishes the attempt and releases its lease; returns false if it was already finished. */
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
