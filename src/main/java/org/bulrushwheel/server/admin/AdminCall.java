package org.bulrushwheel.server.admin;

import io.undertow.server.HttpServerExchange;

/** Handles an administration request after the operator has been authorized and the body has been read. */
@FunctionalInterface
interface AdminCall {
    /**
     * Handles the request and sends the response, immediately or later, on the I/O thread of the exchange.
     *
     * @param exchange HTTP exchange
     * @param operator operator that sent the request
     * @param body complete request body
     */
    void handle(HttpServerExchange exchange, Operator operator, byte[] body);
}
