package org.bulrushwheel.server.edge;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes the requests of a caller's connection with the limit of headers that was in force when it was created.
 *
 * <p>Not thread safe: confined to one event loop.
 */
final class RequestDecoder extends HttpRequestDecoder {
    private final int maxHeaderBytes;
    private boolean hasRequestLine;

    RequestDecoder(int maxHeaderBytes) {
        super(new HttpDecoderConfig().setMaxInitialLineLength(maxHeaderBytes).setMaxHeaderSize(maxHeaderBytes));
        this.maxHeaderBytes = maxHeaderBytes;
    }

    int maxHeaderBytes() {
        return maxHeaderBytes;
    }

    /** Whether a part of a head has arrived; must not be called while a body arrives. */
    boolean hasPartialHead() {
        return hasRequestLine || actualReadableBytes() > 0;
    }

    /** Called when a head is complete. */
    void onHeadRead() {
        hasRequestLine = false;
    }

    @Override
    protected HttpMessage createMessage(String[] requestLine) throws Exception {
        hasRequestLine = true;
        return super.createMessage(requestLine);
    }
}
