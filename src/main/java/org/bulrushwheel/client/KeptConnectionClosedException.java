package org.bulrushwheel.client;

import java.io.IOException;

/**
 * A connection that had carried calls was closed while another one waited for its response.
 *
 * <p>Immutable and thread safe.
 */
final class KeptConnectionClosedException extends IOException {
    private static final long serialVersionUID = 1L;

    KeptConnectionClosedException(Throwable cause) {
        super("the kept connection was closed before the response was complete", cause);
    }
}
