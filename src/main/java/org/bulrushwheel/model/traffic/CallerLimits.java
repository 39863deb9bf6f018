package org.bulrushwheel.model.traffic;

/**
 * Limits on the size and duration of callers' requests.
 *
 * <p>Immutable and thread safe.
 *
 * @param maxHeaderBytes maximum size of a request's head
 * @param maxBodyBytes maximum size of a request's body
 * @param headerTimeoutMillis maximum time until a request's head is complete
 * @param idleTimeoutMillis maximum time that a connection may stay idle
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits that apply until a configuration sets others. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 64L * 1024 * 1024, 3_000, 15_000);
}
