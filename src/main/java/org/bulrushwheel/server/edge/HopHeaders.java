package org.bulrushwheel.server.edge;

import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Removes hop-by-hop headers (RFC 9110, section 7.6.1).
 *
 * <p>Stateless and thread safe.
 */
final class HopHeaders {
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect");

    private HopHeaders() {}

    /** Returns a copy of the end-to-end headers; the sender sets the content length itself. */
    static HttpHeaders endToEnd(HttpHeaders headers) {
        Set<String> connectionOptions = new HashSet<>();
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String token : value.split(",")) {
                connectionOptions.add(token.strip().toLowerCase(Locale.ROOT));
            }
        }
        HttpHeaders copy = new DefaultHttpHeaders();
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !connectionOptions.contains(name)) {
                copy.add(header.getKey(), header.getValue());
            }
        }
        return copy;
    }
}
