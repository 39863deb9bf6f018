package org.bulrushwheel.model.traffic;

/**
 * What a caller may send, and how slowly.
 *
 * <p>Immutable and thread safe.
 *
 * @param maxHeaderBytes most bytes of a request's head
 * @param maxBodyBytes most bytes of a request's body
 * @param headerTimeoutMillis time for a request's head
 * @param idleTimeoutMillis time that a connection may stay idle
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits before a configuration names its own. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 64L * 1024 * 1024, 3_000, 15_000);
}
