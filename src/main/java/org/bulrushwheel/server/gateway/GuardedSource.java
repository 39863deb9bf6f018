package org.bulrushwheel.server.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;

import org.bulrushwheel.logic.response.HeadSyntax;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Reads the bytes of an endpoint for Undertow's client, which itself bounds neither the head of a response nor the time
 * that it spends on one connection while more bytes keep arriving, and which accepts malformed heads.
 *
 * <p>Invariants: all that precedes the body of a response, informational responses included, is at most
 * {@link #MAX_HEAD_BYTES} and what fits into one buffer behind it; a head that breaks {@link HeadSyntax} is not read to its
 * end; after {@link #MAX_TURN_BYTES}, all reads are empty until the I/O thread has got to its other connections and timers,
 * since a decoder may hide one empty read from its reader. Confined to the I/O thread of the connection.
 */
final class GuardedSource extends AbstractStreamSourceConduit<StreamSourceConduit> {
    static final int MAX_HEAD_BYTES = 16 * 1024;
    static final int MAX_TURN_BYTES = 256 * 1024;

    private final HeadSyntax headSyntax = new HeadSyntax();
    private boolean inHead = true;
    private long headBytes;
    private int turnBytes;
    private boolean turnEnded;

    GuardedSource(StreamSourceConduit next) {
        super(next);
    }

    /** Expects the head of the next response: starts to check it and to count its bytes. */
    void beginHead() {
        headSyntax.begin();
        inHead = true;
        headBytes = 0;
    }

    /** Ends the count: what follows is a body. */
    void endHead() {
        inHead = false;
    }

    /** Returns the part of the last head that is malformed; empty if none was so far. */
    Optional<HeadSyntax.Part> malformedPart() {
        return headSyntax.malformedPart();
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        if (inHead && headBytes > MAX_HEAD_BYTES) {
            throw new IOException("the head of the response exceeds " + MAX_HEAD_BYTES + " bytes; shorten its headers");
        }
        if (turnEnded) {
            return 0;
        }
        if (turnBytes >= MAX_TURN_BYTES) {
            turnEnded = true;
            // Runs before the thread selects again, which calls the reader if the socket still has bytes.
            getReadThread().execute(this::beginTurn);
            return 0;
        }
        int start = target.position();
        int count = super.read(target);
        checkHead(target, start);
        if (count > 0) {
            turnBytes += count;
            headBytes += count;
        } else {
            turnBytes = 0;
        }
        return count;
    }

    private void checkHead(ByteBuffer bytes, int start) throws IOException {
        for (int index = start; inHead && index < bytes.position() && !headSyntax.isDecided(); index++) {
            headSyntax.accept(bytes.get(index));
        }
        if (headSyntax.malformedPart().isPresent()) {
            throw new IOException("the head of the response has a malformed "
                    + headSyntax.malformedPart().get() + "; the endpoint does not speak HTTP/1.1");
        }
    }

    private void beginTurn() {
        turnEnded = false;
        turnBytes = 0;
    }
}
