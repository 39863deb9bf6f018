package org.bulrushwheel.server.edge;

import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Receives the answer to one request of a caller. Exactly one answer is delivered, whole or as a stream. Confined to one
 * event loop.
 */
interface AnswerReceiver {
    /** Delivers a complete answer. */
    void onAnswer(EdgeAnswer answer);

    /** Closes the connection of the caller, since no answer can be delivered. */
    void onFailure();

    /**
     * Begins an answer whose body has not arrived in full; empty if it must be buffered now, since preceding answers of
     * the connection have not been sent. The source is paused then until they have been.
     *
     * @param source the connection from which the body arrives; it is paused while the caller does not read
     */
    Optional<AnswerStream> onLargeAnswer(HttpResponseStatus status, HttpHeaders headers, PausableSource source);
}
