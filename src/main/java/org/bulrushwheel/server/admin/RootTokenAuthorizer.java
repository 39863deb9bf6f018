package org.bulrushwheel.server.admin;

import java.util.Optional;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.jspecify.annotations.Nullable;

/**
 * Knows the one operator whose token's hash is in the settings.
 *
 * <p>Immutable and thread safe.
 */
public final class RootTokenAuthorizer implements Authorizer {
    private static final String BEARER = "Bearer ";
    private static final String ROOT_OPERATOR = "root";

    private final Optional<String> tokenSha256;

    /** An authorizer of the token with this hash; with none nobody is an operator. */
    public RootTokenAuthorizer(@Nullable String tokenSha256) {
        this.tokenSha256 = Optional.ofNullable(tokenSha256);
    }

    @Override
    public Optional<String> operatorOf(HttpServerExchange exchange) {
        return Optional.ofNullable(exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION))
                .filter(value -> value.startsWith(BEARER))
                .map(value -> Tokens.sha256(value.substring(BEARER.length())))
                .filter(hash ->
                        tokenSha256.filter(stored -> Tokens.same(hash, stored)).isPresent())
                .map(hash -> ROOT_OPERATOR);
    }
}
