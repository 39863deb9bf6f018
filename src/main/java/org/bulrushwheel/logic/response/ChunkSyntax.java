package org.bulrushwheel.logic.response;

import java.nio.ByteBuffer;

/**
 * Checks the bytes of a body in chunks against the grammar of HTTP/1.1 (RFC 9112, section 7.1), of which decoders accept
 * more: some skip what stands between the end of a chunk's data and the end of its line.
 *
 * <p>Invariants: the result does not depend on how the bytes are divided among calls; trailers are not checked, since they
 * are not passed on. Not thread safe: confined to the reader of one connection.
 */
public final class ChunkSyntax {
    private enum State {
        SIZE,
        SIZE_PADDING,
        EXTENSION,
        SIZE_LINE_END,
        DATA,
        DATA_END,
        DATA_LINE_END,
        COMPLETE,
        MALFORMED
    }

    private static final int MAX_SIZE_DIGITS = 15;
    private static final int HEXADECIMAL = 16;

    private State state = State.SIZE;
    private int sizeDigits;
    private long remainingBytes;

    /** Expects the first chunk of a body next. */
    public void begin() {
        state = State.SIZE;
        sizeDigits = 0;
        remainingBytes = 0;
    }

    /**
     * Checks the next bytes; those behind the last chunk are ignored.
     *
     * @param bytes buffer that holds the bytes; its position does not change
     * @param from index of the first byte
     * @param to index behind the last byte
     */
    public void accept(ByteBuffer bytes, int from, int to) {
        int index = from;
        while (index < to && state != State.COMPLETE && state != State.MALFORMED) {
            if (state == State.DATA) {
                int count = (int) Math.min(remainingBytes, to - index);
                remainingBytes -= count;
                index += count;
                state = remainingBytes == 0 ? State.DATA_END : State.DATA;
            } else {
                state = next(bytes.get(index++) & 0xff);
            }
        }
    }

    /** Whether the bytes so far break the grammar. */
    public boolean isMalformed() {
        return state == State.MALFORMED;
    }

    private State next(int octet) {
        return switch (state) {
            case SIZE -> afterSizeOctet(octet);
            case SIZE_PADDING -> Octets.isBlank(octet) ? state : afterSize(octet);
            case EXTENSION -> afterExtensionOctet(octet);
            case SIZE_LINE_END -> octet == '\n' ? afterSizeLine() : State.MALFORMED;
            case DATA_END -> octet == '\r' ? State.DATA_LINE_END : State.MALFORMED;
            case DATA_LINE_END -> octet == '\n' ? State.SIZE : State.MALFORMED;
            default -> state;
        };
    }

    private State afterSizeOctet(int octet) {
        int digit = Character.digit(octet, HEXADECIMAL);
        if (digit >= 0 && sizeDigits < MAX_SIZE_DIGITS) {
            sizeDigits++;
            remainingBytes = remainingBytes * HEXADECIMAL + digit;
            return State.SIZE;
        }
        if (sizeDigits == 0) {
            return State.MALFORMED;
        }
        return Octets.isBlank(octet) ? State.SIZE_PADDING : afterSize(octet);
    }

    private static State afterSize(int octet) {
        return switch (octet) {
            case ';' -> State.EXTENSION;
            case '\r' -> State.SIZE_LINE_END;
            default -> State.MALFORMED;
        };
    }

    private static State afterExtensionOctet(int octet) {
        if (octet == '\r') {
            return State.SIZE_LINE_END;
        }
        return Octets.isText(octet) ? State.EXTENSION : State.MALFORMED;
    }

    private State afterSizeLine() {
        sizeDigits = 0;
        return remainingBytes == 0 ? State.COMPLETE : State.DATA;
    }
}
