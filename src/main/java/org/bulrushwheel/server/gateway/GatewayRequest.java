package org.bulrushwheel.server.gateway;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import org.bulrushwheel.model.config.Route;

/**
 * A parsed and validated request of a caller.
 *
 * <p>Immutable by convention: the header map and the body must not be modified. Confined to the I/O thread of its
 * exchange.
 *
 * @param service name of the service
 * @param route route that matches the request
 * @param method HTTP method
 * @param path path and query at the upstream
 * @param headers headers sent by the caller
 * @param body complete body; empty if there is none
 * @param idempotencyKey idempotency key; required for a request that must run at most once
 * @param deadlineMillis monotonic time in milliseconds at which the caller stops waiting
 */
record GatewayRequest(
        String service,
        Route route,
        HttpString method,
        String path,
        HeaderMap headers,
        byte[] body,
        Optional<String> idempotencyKey,
        long deadlineMillis) {
    /** Returns the SHA-256 of method, path and body. */
    byte[] digest() {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(method.toString().getBytes(StandardCharsets.UTF_8));
            digest.update((byte) 0);
            digest.update(path.getBytes(StandardCharsets.UTF_8));
            digest.update((byte) 0);
            digest.update(body);
            return digest.digest();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java runtime does not provide SHA-256; use one that does", e);
        }
    }

    /** Returns the service and the digest, which identify this request independently of its caller. */
    String fingerprint() {
        return service + "/" + HexFormat.of().formatHex(digest());
    }
}
