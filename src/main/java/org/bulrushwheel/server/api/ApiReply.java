package org.bulrushwheel.server.api;

import java.nio.charset.StandardCharsets;

/**
 * Response to a request.
 *
 * <p>Immutable and thread safe.
 *
 * @param status HTTP status
 * @param contentType media type of the body
 * @param body complete response body
 */
public record ApiReply(int status, String contentType, byte[] body) {
    /** Creates a response without a body. */
    public static ApiReply empty(int status) {
        return new ApiReply(status, "application/json", new byte[0]);
    }

    /** Creates a response with a JSON document. */
    public static ApiReply json(int status, String document) {
        return new ApiReply(status, "application/json", document.getBytes(StandardCharsets.UTF_8));
    }

    /** Creates a response with plain text. */
    public static ApiReply text(int status, String text) {
        return new ApiReply(status, "text/plain; charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
    }
}
