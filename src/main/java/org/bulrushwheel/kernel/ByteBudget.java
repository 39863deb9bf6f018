package org.bulrushwheel.kernel;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Bytes of one kind that a process may hold at once, over all its connections.
 *
 * <p>Invariant: what is reserved never exceeds the limit. Thread safe.
 */
public final class ByteBudget {
    private final long limitBytes;
    private final Optional<ByteBudget> whole;
    private final AtomicLong reservedBytes = new AtomicLong();

    /** Creates a budget of which nothing is reserved. */
    public ByteBudget(long limitBytes) {
        this(limitBytes, Optional.empty());
    }

    private ByteBudget(long limitBytes, Optional<ByteBudget> whole) {
        this.limitBytes = limitBytes;
        this.whole = whole;
    }

    /** Returns a budget of a part of these bytes; what is reserved there is reserved here as well. */
    public ByteBudget share(long shareBytes) {
        return new ByteBudget(shareBytes, Optional.of(this));
    }

    /** Reserves bytes until they are released; returns whether they were available. */
    public boolean tryReserve(long bytes) {
        if (!tryReserveHere(bytes)) {
            return false;
        }
        if (whole.isPresent() && !whole.get().tryReserve(bytes)) {
            reservedBytes.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    private boolean tryReserveHere(long bytes) {
        long before = reservedBytes.get();
        while (before + bytes <= limitBytes) {
            if (reservedBytes.compareAndSet(before, before + bytes)) {
                return true;
            }
            before = reservedBytes.get();
        }
        return false;
    }

    /** Releases bytes that were reserved. */
    public void release(long bytes) {
        reservedBytes.addAndGet(-bytes);
        whole.ifPresent(each -> each.release(bytes));
    }

    /** Returns whether this many bytes are available now. */
    public boolean hasAvailable(long bytes) {
        return reservedBytes.get() + bytes <= limitBytes
                && whole.map(each -> each.hasAvailable(bytes)).orElse(true);
    }

    /** Returns the reserved bytes. */
    public long reservedBytes() {
        return reservedBytes.get();
    }

    /** Returns the bytes that may be reserved at once. */
    public long limitBytes() {
        return limitBytes;
    }
}
