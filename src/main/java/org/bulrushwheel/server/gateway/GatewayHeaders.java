package org.bulrushwheel.server.gateway;

import java.util.Set;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;

/**
 * Headers that the gateway reads, sets or removes.
 *
 * <p>Stateless and thread safe.
 */
final class GatewayHeaders {
    static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");
    static final HttpString TIMEOUT_MILLIS = new HttpString("Bulrushwheel-Timeout-Millis");
    static final HttpString FORWARDED_BY = new HttpString("Bulrushwheel-Forwarded-By");
    static final HttpString REPLAYED = new HttpString("Bulrushwheel-Replayed");
    static final HttpString REQUEST_ID = new HttpString("Bulrushwheel-Request-Id");
    static final HttpString LEAVING = new HttpString("Bulrushwheel-Leaving");
    static final HttpString UPSTREAM = new HttpString("Bulrushwheel-Upstream");

    /** Hop-by-hop headers, which are never forwarded (RFC 9110, section 7.6.1). */
    private static final Set<HttpString> HOP_BY_HOP = Set.of(
            Headers.CONNECTION,
            new HttpString("Keep-Alive"),
            Headers.PROXY_AUTHENTICATE,
            Headers.PROXY_AUTHORIZATION,
            Headers.TE,
            Headers.TRAILER,
            Headers.TRANSFER_ENCODING,
            Headers.UPGRADE,
            Headers.EXPECT);

    private GatewayHeaders() {}

    static void copyEndToEnd(HeaderMap from, HeaderMap to) {
        for (HeaderValues values : from) {
            if (!HOP_BY_HOP.contains(values.getHeaderName()) && !isNamedByConnection(from, values.getHeaderName())) {
                to.putAll(values.getHeaderName(), values);
            }
        }
    }

    /** Names the caller's own request in the response, if the caller named it. */
    static void nameRequest(HttpServerExchange exchange) {
        HeaderValues callerId = exchange.getRequestHeaders().get(REQUEST_ID);
        if (callerId != null) {
            exchange.getResponseHeaders().put(REQUEST_ID, callerId.getFirst());
        }
    }

    /** Returns the length of a body in bytes; -1 if its headers don't tell. */
    static long contentLength(HeaderMap headers) {
        String length = headers.getFirst(Headers.CONTENT_LENGTH);
        return length == null ? -1 : Long.parseLong(length);
    }

    private static boolean isNamedByConnection(HeaderMap headers, HttpString name) {
        HeaderValues connection = headers.get(Headers.CONNECTION);
        if (connection == null) {
            return false;
        }
        return connection.stream()
                .flatMap(value -> java.util.Arrays.stream(value.split(",")))
                .anyMatch(token -> name.equalToString(token.strip()));
    }
}
