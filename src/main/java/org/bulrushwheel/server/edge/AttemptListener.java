package org.bulrushwheel.server.edge;

import java.util.Optional;

import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the outcome of one request that was sent to an endpoint: exactly one complete answer, stream or failure. Called
 * on the event loop.
 */
interface AttemptListener {
    /** Called with the endpoint's complete response; the listener must release its body. */
    void onAnswer(EdgeAnswer answer);

    /** Whether the body of a response with this head may be passed on; otherwise the response is delivered without it. */
    boolean needsBody(HttpResponse head);

    /**
     * Called once enough of a large answer has arrived, and again with more of it while the result is empty. If there is
     * a stream, the rest of the answer goes there, and none of the other methods is called.
     */
    Optional<AnswerStream> onLargeAnswer(HttpResponse head, PausableSource source);

    /**
     * Called when the connection closed or violated the protocol before the response was complete. The request may have
     * run.
     *
     * @param answerBegun whether the endpoint had sent any byte since the request
     */
    void onConnectionFailure(String reason, boolean answerBegun);
}
