package org.bulrushwheel.server.edge;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A complete request of a caller.
 *
 * <p>Immutable except for the reference count of the body, which the {@link Exchange} releases. Confined to one event
 * loop.
 *
 * @param method HTTP method
 * @param target path and query as received
 * @param headers headers as received
 * @param body complete body
 * @param keepAlive whether the caller keeps the connection open after the response
 * @param receivedMillis monotonic time in milliseconds at which the last byte arrived, or would have arrived if it had not
 *     waited in this instance's link
 */
record CallerRequest(
        HttpMethod method, String target, HttpHeaders headers, ByteBuf body, boolean keepAlive, long receivedMillis) {
    String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    String host() {
        return Optional.ofNullable(headers.get("Host")).orElse("");
    }

    Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    Optional<Long> millisHeader(String name) {
        return header(name).flatMap(CallerRequest::parseMillis);
    }

    private static Optional<Long> parseMillis(String text) {
        try {
            return Optional.of((long) Double.parseDouble(text.strip()));
        } catch (NumberFormatException e) {
            // An unreadable header is ignored; the timeout of the route applies.
            return Optional.empty();
        }
    }
}
