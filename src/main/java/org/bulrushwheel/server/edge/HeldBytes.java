package org.bulrushwheel.server.edge;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.buffer.UnpooledDirectByteBuf;
import io.netty.util.internal.PlatformDependent;

/**
 * Bound of the bytes of bodies that this process holds, shared by all connections. What does not fit there fits nowhere: a
 * share counts against the whole as well.
 *
 * <p>Invariants: the capacity of each buffer counts from its allocation until its last reference is released, whoever owns
 * it; {@link #allocate} does not exceed the limit. Confined to one event loop, except for {@link #heldBytes()}.
 */
final class HeldBytes {
    // The rest is for what connections have in transit: receive buffers, and answers that are passed on in parts.
    private static final int FRACTION_OF_MEMORY = 3;

    private final long limitBytes;
    private final Optional<HeldBytes> whole;
    private volatile long bytes;

    HeldBytes(long limitBytes) {
        this(limitBytes, Optional.empty());
    }

    private HeldBytes(long limitBytes, Optional<HeldBytes> whole) {
        this.limitBytes = limitBytes;
        this.whole = whole;
    }

    /** Returns the limit for a process with the memory of this one. */
    static long limitOfProcess() {
        return Math.min(Runtime.getRuntime().maxMemory(), PlatformDependent.estimateMaxDirectMemory())
                / FRACTION_OF_MEMORY;
    }

    /** Returns a bound of a part of these bytes; what it holds counts here as well. */
    HeldBytes share(long shareBytes) {
        return new HeldBytes(shareBytes, Optional.of(this));
    }

    long limitBytes() {
        return limitBytes;
    }

    /** Returns how many bytes are held now; may be called on any thread. */
    long heldBytes() {
        return bytes;
    }

    /** Whether so many more bytes can be held now. */
    boolean fits(long moreBytes) {
        return bytes + moreBytes <= limitBytes
                && whole.map(each -> each.fits(moreBytes)).orElse(true);
    }

    /** Returns an empty buffer of this capacity; empty if it does not fit. */
    Optional<ByteBuf> allocate(int capacity) {
        return fits(capacity) ? Optional.of(allocateBeyondLimit(capacity)) : Optional.empty();
    }

    /** Returns an empty buffer of this capacity, which counts even if it does not fit. */
    ByteBuf allocateBeyondLimit(int capacity) {
        ByteBuf buffer = new HeldBuffer(capacity);
        add(capacity);
        return buffer;
    }

    private void add(long moreBytes) {
        bytes += moreBytes;
        whole.ifPresent(each -> each.add(moreBytes));
    }

    /** A buffer that cannot grow and ends its reservation with its last reference. */
    private final class HeldBuffer extends UnpooledDirectByteBuf {
        private final int reservedBytes;

        private HeldBuffer(int capacity) {
            super(UnpooledByteBufAllocator.DEFAULT, capacity, capacity);
            reservedBytes = capacity;
        }

        @Override
        protected void deallocate() {
            super.deallocate();
            add(-reservedBytes);
        }
    }
}
