package org.bulrushwheel.server.edge;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * A complete response for a caller. Its last owner must release the body.
 *
 * <p>Immutable except for the reference count of the body. Confined to one event loop.
 *
 * @param status HTTP status
 * @param headers end-to-end headers
 * @param body complete body
 */
record EdgeAnswer(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
    /** Creates a response that this instance generates itself, with a plain-text message as its body. */
    static EdgeAnswer localReply(int status, String message) {
        HttpHeaders headers = new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
        return new EdgeAnswer(
                HttpResponseStatus.valueOf(status),
                headers,
                Unpooled.copiedBuffer(message + "\n", StandardCharsets.US_ASCII));
    }

    /** Does something before the body has a new owner; the body is released if that throws. */
    void releaseIfFails(Runnable step) {
        boolean done = false;
        try {
            step.run();
            done = true;
        } finally {
            if (!done) {
                body.release();
            }
        }
    }

    /** Creates the response to a request in whose processing this instance has failed. */
    static EdgeAnswer internalError(boolean mayHaveRun) {
        return mayHaveRun
                ? localReply(502, "this instance has failed; the request may have run")
                : localReply(503, "this instance has failed; not run");
    }

    /** Creates a 503 response to a request that has not run, with a {@code Retry-After} header. */
    static EdgeAnswer refusal(String message, long retryAfterMillis) {
        EdgeAnswer answer = localReply(503, message);
        answer.headers().set(HttpHeaderNames.RETRY_AFTER, Double.toString(retryAfterMillis / 1_000.0));
        return answer;
    }

    /** Whether a response with this status has a body, unless it answers a HEAD request. */
    boolean hasBody() {
        return status.code() >= 200 && status.code() != 204 && status.code() != 304;
    }
}
