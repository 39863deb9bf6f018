package org.bulrushwheel.server.edge;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * A whole answer for a caller. Whoever holds it last releases its body.
 *
 * <p>Immutable but for the reference count of its body. Used on one event loop.
 *
 * @param status status
 * @param headers end-to-end headers
 * @param body whole body
 */
record EdgeAnswer(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
    /** An answer of this instance's own. */
    static EdgeAnswer own(int status, String reason) {
        HttpHeaders headers = new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
        return new EdgeAnswer(
                HttpResponseStatus.valueOf(status),
                headers,
                Unpooled.copiedBuffer(reason + "\n", StandardCharsets.US_ASCII));
    }

    /** A refusal of a request that has not run, with the time after which it is worth another try. */
    static EdgeAnswer refusal(String reason, long retryAfterMillis) {
        EdgeAnswer answer = own(503, reason);
        answer.headers().set(HttpHeaderNames.RETRY_AFTER, Double.toString(retryAfterMillis / 1_000.0));
        return answer;
    }
}
