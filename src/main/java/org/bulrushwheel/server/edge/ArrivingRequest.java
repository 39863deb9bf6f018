package org.bulrushwheel.server.edge;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;

/**
 * A request whose body has not arrived in full.
 *
 * <p>Invariant: the body counts in {@link HeldBytes}; a small one always fits. Not thread safe: confined to one event loop.
 */
final class ArrivingRequest {
    private static final int SMALL_BODY_BYTES = 16 * 1024;
    // Far below what a caller on a narrow link sends.
    private static final long MIN_BYTES_PER_SECOND = 500;
    private static final long SLOW_START_MILLIS = 20_000;

    private final HttpRequest head;
    private final HeldBytes heldBytes;
    private final HeldBody body;
    private long slowStartEndMillis;
    private long lastCheckMillis;

    ArrivingRequest(HttpRequest head, HeldBytes heldBytes, long nowMillis) {
        this.head = head;
        this.heldBytes = heldBytes;
        this.body = new HeldBody(heldBytes);
        this.slowStartEndMillis = nowMillis + SLOW_START_MILLIS;
        this.lastCheckMillis = nowMillis;
    }

    HttpRequest head() {
        return head;
    }

    /** Returns the length of the body as far as it is known: the declared one, or that of what has arrived. */
    long length() {
        return Math.max(body.length(), HttpUtil.getContentLength(head, 0L));
    }

    /** Whether the rest of a body of the declared length fits now. */
    boolean fits() {
        return length() <= SMALL_BODY_BYTES || heldBytes.fits(length() - body.length());
    }

    /**
     * Whether the body arrives at less than the minimum rate, behind a start of some seconds. Called regularly; the time
     * before a call in which the connection is not read does not count.
     */
    boolean isTooSlow(long nowMillis, boolean isReading) {
        if (!isReading) {
            slowStartEndMillis += nowMillis - lastCheckMillis;
        }
        lastCheckMillis = nowMillis;
        return nowMillis > slowStartEndMillis + body.length() * 1_000 / MIN_BYTES_PER_SECOND;
    }

    /** Appends a part of the body, or returns false if it does not fit. */
    boolean append(ByteBuf content, boolean last) {
        if (body.length() + content.readableBytes() <= SMALL_BODY_BYTES) {
            body.appendBeyondLimit(content, last);
            return true;
        }
        return body.append(content, last);
    }

    /** Returns the request after its last byte; the body belongs to it then. */
    CallerRequest complete(long nowMillis) {
        return new CallerRequest(
                head.method(), head.uri(), head.headers(), body.take(), HttpUtil.isKeepAlive(head), nowMillis);
    }

    void release() {
        body.release();
    }
}
