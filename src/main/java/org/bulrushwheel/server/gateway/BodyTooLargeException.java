package org.bulrushwheel.server.gateway;

import java.io.IOException;

/**
 * Thrown when a body exceeds the size limit for buffering.
 *
 * <p>Immutable and thread safe.
 */
final class BodyTooLargeException extends IOException {
    private static final long serialVersionUID = 1L;

    BodyTooLargeException(int maxBytes) {
        super("the body has more than " + maxBytes + " bytes");
    }
}
