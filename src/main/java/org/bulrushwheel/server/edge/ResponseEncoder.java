package org.bulrushwheel.server.edge;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/**
 * Encodes the responses of a caller's connection.
 *
 * <p>Not thread safe: confined to one event loop.
 */
final class ResponseEncoder extends HttpResponseEncoder {
    private HttpMethod method = HttpMethod.GET;

    /** Sets the method of the request whose response is written next. */
    void setMethod(HttpMethod newMethod) {
        method = newMethod;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse response) {
        return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(response);
    }
}
