package org.bulrushwheel.server.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import org.bulrushwheel.logic.response.ChunkSyntax;
import org.bulrushwheel.logic.response.HeadSyntax;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Reads the bytes of an endpoint for Undertow's client, which itself bounds neither the head of a response nor the time
 * that it spends on one connection while more bytes keep arriving, and which accepts malformed responses.
 *
 * <p>Invariants: all that precedes the body of a response, informational responses included, is at most
 * {@link #MAX_HEAD_BYTES} and what fits into one buffer behind it; nothing is read behind bytes that break
 * {@link HeadSyntax} or {@link ChunkSyntax}; after {@link #MAX_TURN_BYTES}, all reads are empty until the I/O thread has got
 * to its other connections and timers, since a decoder may hide one empty read from its reader. Confined to the I/O thread
 * of the connection.
 */
final class GuardedSource extends AbstractStreamSourceConduit<StreamSourceConduit> {
    static final int MAX_HEAD_BYTES = 16 * 1024;
    static final int MAX_TURN_BYTES = 256 * 1024;

    private final HeadSyntax headSyntax = new HeadSyntax();
    private final ChunkSyntax chunkSyntax = new ChunkSyntax();
    private boolean bodyExpected;
    private boolean inHead = true;
    private long headBytes;
    private int turnBytes;
    private boolean turnEnded;

    GuardedSource(StreamSourceConduit next) {
        super(next);
    }

    /**
     * Expects the next response: starts to check it, and to count the bytes of its head.
     *
     * @param method method of the request, which decides with the head whether there is a body
     */
    void beginHead(HttpString method) {
        headSyntax.begin();
        chunkSyntax.begin();
        bodyExpected = !method.equals(Methods.HEAD);
        inHead = true;
        headBytes = 0;
    }

    /** Ends the count: what follows is a body. */
    void endHead() {
        inHead = false;
    }

    /** Whether the bytes of the last response are not HTTP/1.1. */
    boolean isMalformed() {
        return headSyntax.malformedPart().isPresent() || chunkSyntax.isMalformed();
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
        check(target, start);
        if (count > 0) {
            turnBytes += count;
            headBytes += count;
        } else {
            turnBytes = 0;
        }
        return count;
    }

    private void check(ByteBuffer bytes, int start) throws IOException {
        int index = start;
        while (inHead && index < bytes.position() && !headSyntax.isDecided()) {
            headSyntax.accept(bytes.get(index++));
        }
        if (bodyExpected && headSyntax.announcesChunks()) {
            chunkSyntax.accept(bytes, index, bytes.position());
        }
        if (isMalformed()) {
            String part = headSyntax.malformedPart().map(Object::toString).orElse("chunk");
            throw new IOException("the response has a malformed " + part + "; the endpoint does not speak HTTP/1.1");
        }
    }

    private void beginTurn() {
        turnEnded = false;
        turnBytes = 0;
    }
}
