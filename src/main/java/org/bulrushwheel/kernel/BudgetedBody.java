package org.bulrushwheel.kernel;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Body while it arrives, within a budget of the process.
 *
 * <p>Invariant: its memory beyond the free bytes is reserved until {@link #release}. Not thread safe: confined to the
 * thread of its connection.
 */
public final class BudgetedBody {
    private static final int FIRST_BYTES = 512;

    private final ByteBudget budget;
    private final int maxBytes;
    private final int freeBytes;
    private final int likelyBytes;
    private byte[] bytes = new byte[0];
    private int length;
    private long reservedBytes;
    private boolean released;

    /**
     * Creates an empty body.
     *
     * @param freeBytes length up to which nothing is reserved
     * @param declaredBytes length that the sender has named, 0 if it has not
     */
    public BudgetedBody(ByteBudget budget, int maxBytes, int freeBytes, long declaredBytes) {
        this.budget = budget;
        this.maxBytes = maxBytes;
        this.freeBytes = freeBytes;
        this.likelyBytes = (int) Math.min(maxBytes, declaredBytes == 0 ? maxBytes : declaredBytes);
    }

    /** Returns the length that is accepted. */
    public int maxBytes() {
        return maxBytes;
    }

    /** Returns whether a body of this length is longer than is accepted. */
    public boolean isTooLong(long bodyBytes) {
        return bodyBytes > maxBytes;
    }

    /** Returns whether a body of this length could be held now. */
    public boolean fits(long bodyBytes) {
        return bodyBytes <= freeBytes || budget.hasAvailable(bodyBytes);
    }

    /** Returns the length that the body has with a part that has arrived. */
    public long lengthWith(ByteBuffer part) {
        return (long) length + part.remaining();
    }

    /** Appends a part that is not too long; returns whether there was memory for it, never after the release. */
    public boolean append(ByteBuffer part) {
        if (released) {
            return false;
        }
        int needed = length + part.remaining();
        if (needed > bytes.length) {
            int doubled = Math.min(likelyBytes, Math.max(FIRST_BYTES, 2 * bytes.length));
            int capacity = Math.max(needed, doubled);
            long missing = (capacity <= freeBytes ? 0 : capacity) - reservedBytes;
            if (!budget.tryReserve(missing)) {
                return false;
            }
            reservedBytes += missing;
            bytes = Arrays.copyOf(bytes, capacity);
        }
        int partBytes = part.remaining();
        part.get(bytes, length, partBytes);
        length += partBytes;
        return true;
    }

    /** Returns the body after its last byte. */
    public byte[] complete() {
        return length == bytes.length ? bytes : Arrays.copyOf(bytes, length);
    }

    /** Ends the reservation; the body accepts nothing more. */
    public void release() {
        released = true;
        budget.release(reservedBytes);
        reservedBytes = 0;
        bytes = new byte[0];
    }
}
