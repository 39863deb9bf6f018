package org.bulrushwheel.server.api;

import java.util.concurrent.CompletionStage;

/**
 * Tells whether the caller of a request still waits for the response.
 *
 * <p>Implementations are thread safe.
 */
@FunctionalInterface
public interface CallerPresence {
    /**
     * Completes with whether the caller's connection is open after everything that had arrived on it when this method
     * was called has been read. A caller that has disconnected may have repeated its request elsewhere.
     */
    CompletionStage<Boolean> isWaiting();
}
