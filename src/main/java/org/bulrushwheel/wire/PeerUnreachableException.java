package org.bulrushwheel.wire;

/**
 * A peer gave no answer before the deadline.
 *
 * <p>Immutable and thread safe.
 */
public final class PeerUnreachableException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Names the peer. */
    public PeerUnreachableException(String peer) {
        super("no answer from " + peer + "; check that it runs and that its peer address is right", null, false, false);
    }
}
