package org.bulrushwheel.wire;

/**
 * A peer did not respond before the timeout.
 *
 * <p>Immutable and thread safe.
 */
public final class PeerUnreachableException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message names the peer. */
    public PeerUnreachableException(String peer) {
        super(
                "no answer from " + peer + "; check that it is running and that its peer address is correct",
                null,
                false,
                false);
    }
}
