package org.bulrushwheel.server.admin;

import java.util.Optional;

import io.undertow.server.HttpServerExchange;

/** Tells operators by their bearer tokens. Implementations are thread safe. */
public interface Authorizer {
    /** Returns the name of the operator whose token the request carries. */
    Optional<String> operatorOf(HttpServerExchange exchange);
}
