package org.bulrushwheel.server.edge;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Hash of a request's method, host, target and body, which is the same whenever the request is sent again.
 *
 * <p>Stateless and thread safe.
 */
final class RequestFingerprint {
    private RequestFingerprint() {}

    static String of(CallerRequest request) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            String head = request.method() + " " + request.host() + " " + request.target();
            digest.update(head.getBytes(StandardCharsets.UTF_8));
            for (ByteBuffer part : request.body().nioBuffers()) {
                digest.update(part);
            }
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java runtime does not provide SHA-256; use one that does", e);
        }
    }
}
