package org.bulrushwheel.server.admin;

import io.undertow.server.HttpServerExchange;

/** What an operator asks for, once the operator is known and the body is read. */
@FunctionalInterface
interface AdminCall {
    /**
     * Does the work and answers, now or later, on the I/O thread of the exchange.
     *
     * @param exchange the exchange
     * @param operator who calls
     * @param body whole body
     */
    void handle(HttpServerExchange exchange, Operator operator, byte[] body);
}
