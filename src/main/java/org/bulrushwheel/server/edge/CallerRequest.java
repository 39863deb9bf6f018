package org.bulrushwheel.server.edge;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A caller's request, read in full.
 *
 * <p>Immutable but for the reference count of its body, which the exchange releases. Used on one event loop.
 *
 * @param method method
 * @param target path and query as they came
 * @param headers headers as they came
 * @param body whole body
 * @param keepAlive whether the caller keeps the connection
 * @param receivedMillis monotonic time of its last byte
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
            // A header that can't be read limits nothing; the route's timeout stands.
            return Optional.empty();
        }
    }
}
