package org.bulrushwheel.server.gateway;

import java.util.UUID;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Pattern;

import io.undertow.util.HeaderMap;

/**
 * Creates the IDs by which responses are attributed to attempts.
 *
 * <p>Invariant: no two attempts have the same ID, whatever ID their callers sent. Thread safe.
 */
final class AttemptIds {
    private static final Pattern FORWARDED_ID = Pattern.compile("[\\x21-\\x7e]{1,128}");

    private final String prefix = UUID.randomUUID() + "-";
    private final AtomicLong count = new AtomicLong();

    /** Returns a new ID, which begins with the ID that the caller sent, if that is printable and of moderate length. */
    String next(HeaderMap callerHeaders) {
        String id = prefix + count.incrementAndGet();
        String callerId = callerHeaders.getFirst(GatewayHeaders.REQUEST_ID);
        return callerId != null && FORWARDED_ID.matcher(callerId).matches() ? callerId + "/" + id : id;
    }
}
