package org.bulrushwheel.server.admin;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.HexFormat;

/**
 * Generates, hashes and compares bearer tokens.
 *
 * <p>Stateless and thread safe.
 */
public final class Tokens {
    private static final int TOKEN_BYTES = 32;

    private Tokens() {}

    /** Generates a random token of 32 bytes as lower-case hex. */
    public static String generate() {
        byte[] token = new byte[TOKEN_BYTES];
        new SecureRandom().nextBytes(token);
        return HexFormat.of().formatHex(token);
    }

    /** Returns the SHA-256 of a token as lower-case hex. */
    public static String sha256(String token) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(token.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java runtime does not provide SHA-256", e);
        }
    }

    /** Compares two hashes in constant time. */
    public static boolean same(String left, String right) {
        return MessageDigest.isEqual(
                left.getBytes(StandardCharsets.US_ASCII), right.getBytes(StandardCharsets.US_ASCII));
    }
}
