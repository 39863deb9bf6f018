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
 * A caller's request as the gateway has understood it.
 *
 * <p>Immutable, but for the header map, which nothing changes. Confined to the I/O thread of its exchange.
 *
 * @param service name of the service
 * @param route route that covers it
 * @param method HTTP method
 * @param path path and query at the upstream
 * @param headers headers of the caller
 * @param body whole body; empty when there is none
 * @param idempotencyKey key of a request that must run at most once
 * @param deadlineMillis monotonic time at which the caller gives up
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
            throw new IllegalStateException("this Java has no SHA-256; run another one", e);
        }
    }

    /** Returns what tells this request from others whoever sends it: service and digest. */
    String fingerprint() {
        return service + "/" + HexFormat.of().formatHex(digest());
    }
}
