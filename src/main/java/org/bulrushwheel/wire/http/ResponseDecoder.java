package org.bulrushwheel.wire.http;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import org.bulrushwheel.logic.response.HeadSyntax;

/**
 * Decodes the responses of a connection that carries one request at a time.
 *
 * <p>Invariants: a response whose head breaks {@link HeadSyntax} has a decoder result that says so; the method of the
 * request in flight decides how a response is framed, no matter how many responses came before. Not thread safe: confined
 * to one event loop.
 */
public final class ResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_INITIAL_LINE_BYTES = 8_192;
    private static final int MAX_HEADER_BYTES = 65_536;
    private static final int MAX_CHUNK_BYTES = 65_536;
    /**
     * Bytes that may arrive for a response without being part of a body. The decoder's own limits come first, wherever it
     * has any; it does not count line ends and separators.
     */
    public static final int MAX_FRAMING_BYTES = 2 * (MAX_INITIAL_LINE_BYTES + MAX_HEADER_BYTES);

    private final HeadSyntax headSyntax = new HeadSyntax();
    private HttpMethod method = HttpMethod.GET;

    /** Creates a decoder for the responses to GET requests. */
    public ResponseDecoder() {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxChunkSize(MAX_CHUNK_BYTES));
    }

    /** Sets the method of the request that is sent next. */
    public void setMethod(HttpMethod newMethod) {
        method = newMethod;
    }

    /** Whether bytes have arrived that are not part of any response decoded so far. */
    public boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> messages) throws Exception {
        int start = buffer.readerIndex();
        int decodedBefore = messages.size();
        super.decode(context, buffer, messages);
        checkHead(buffer, start);
        for (int index = decodedBefore; index < messages.size(); index++) {
            Object message = messages.get(index);
            if (message instanceof HttpResponse response) {
                headSyntax.malformedPart().ifPresent(part -> markMalformed(response, part));
            }
            if (message instanceof LastHttpContent) {
                headSyntax.begin();
            }
        }
    }

    /** Checks the bytes that were decoded; a call of the decoder that completes a head decodes nothing behind it. */
    private void checkHead(ByteBuf buffer, int start) {
        for (int index = start; index < buffer.readerIndex() && !headSyntax.isDecided(); index++) {
            headSyntax.accept(buffer.getByte(index));
        }
    }

    private static void markMalformed(HttpResponse response, HeadSyntax.Part part) {
        if (response.decoderResult().isSuccess()) {
            response.setDecoderResult(DecoderResult.failure(new DecoderException("malformed " + part)));
        }
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage response) {
        return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(response);
    }
}
