package org.bulrushwheel.server.edge;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;

/**
 * A body that is held until it is complete. Bytes are copied into buffers of its own, since a small slice would keep a whole
 * receive buffer; its buffers grow with it, so that it holds at most twice its length and {@value #MIN_BUFFER_BYTES} bytes.
 *
 * <p>Invariant: all memory of the body is counted by {@link HeldBytes}. Confined to one event loop.
 */
final class HeldBody {
    private static final int MIN_BUFFER_BYTES = 1_024;
    private static final int MAX_BUFFER_BYTES = 64 * 1024;

    private final HeldBytes heldBytes;
    private final List<ByteBuf> buffers = new ArrayList<>();
    private long length;
    private long capacity;

    HeldBody(HeldBytes heldBytes) {
        this.heldBytes = heldBytes;
    }

    /** Returns how many bytes were appended. */
    long length() {
        return length;
    }

    /** Returns how many bytes of memory this body occupies. */
    long capacity() {
        return capacity;
    }

    /** Returns how many more bytes of memory {@link #append} needs for these bytes. */
    int additionalBytes(ByteBuf bytes, boolean last) {
        int beyond = bytes.readableBytes() - writableBytes();
        if (beyond <= 0) {
            return 0;
        }
        return last ? beyond : Math.max(beyond, (int) Math.max(MIN_BUFFER_BYTES, Math.min(capacity, MAX_BUFFER_BYTES)));
    }

    /** Appends a copy of these bytes, or returns false and appends nothing if the memory for them does not fit. */
    boolean append(ByteBuf bytes, boolean last) {
        int additional = additionalBytes(bytes, last);
        if (additional > 0) {
            Optional<ByteBuf> buffer = heldBytes.allocate(additional);
            if (buffer.isEmpty()) {
                return false;
            }
            copy(bytes, buffer);
        } else {
            copy(bytes, Optional.empty());
        }
        return true;
    }

    /** Appends a copy of these bytes even if the memory for them does not fit. */
    void appendBeyondLimit(ByteBuf bytes, boolean last) {
        int additional = additionalBytes(bytes, last);
        copy(bytes, additional > 0 ? Optional.of(heldBytes.allocateBeyondLimit(additional)) : Optional.empty());
    }

    private void copy(ByteBuf bytes, Optional<ByteBuf> nextBuffer) {
        int count = bytes.readableBytes();
        int fitting = Math.min(count, writableBytes());
        int start = bytes.readerIndex();
        if (fitting > 0) {
            buffers.get(buffers.size() - 1).writeBytes(bytes, start, fitting);
        }
        nextBuffer.ifPresent(buffer -> {
            buffer.writeBytes(bytes, start + fitting, count - fitting);
            buffers.add(buffer);
            capacity += buffer.capacity();
        });
        length += count;
    }

    private int writableBytes() {
        return buffers.isEmpty() ? 0 : buffers.get(buffers.size() - 1).writableBytes();
    }

    /** Returns what was appended; its owner must release it. This body is empty then. */
    ByteBuf take() {
        ByteBuf taken =
                switch (buffers.size()) {
                    case 0 -> Unpooled.EMPTY_BUFFER;
                    case 1 -> buffers.get(0);
                    default -> new CompositeByteBuf(UnpooledByteBufAllocator.DEFAULT, true, buffers.size(), buffers);
                };
        forget();
        return taken;
    }

    void release() {
        buffers.forEach(ByteBuf::release);
        forget();
    }

    private void forget() {
        buffers.clear();
        length = 0;
        capacity = 0;
    }
}
