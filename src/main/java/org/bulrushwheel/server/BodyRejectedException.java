package org.bulrushwheel.server;

import java.io.IOException;

import org.bulrushwheel.model.refusal.RefusalReason;

/**
 * Thrown when a body is rejected before its end: for its length, its slowness, or for want of room in the process.
 *
 * <p>Immutable and thread safe.
 */
public final class BodyRejectedException extends IOException {
    private static final long serialVersionUID = 1L;

    private final RefusalReason reason;

    BodyRejectedException(RefusalReason reason, String message) {
        super(message);
        this.reason = reason;
    }

    /** Returns the reason with which the request is refused if this is its body. */
    public RefusalReason reason() {
        return reason;
    }
}
