package org.bulrushwheel.server.edge;

/**
 * Receives the outcome of one request that was sent to an endpoint. Exactly one method is called, on the event loop.
 */
interface AttemptListener {
    /** Called with the endpoint's complete response; the listener must release its body. */
    void onAnswer(EdgeAnswer answer);

    /**
     * Called when the connection closed or violated the protocol before the response was complete. The request may have
     * run.
     *
     * @param answerBegun whether the endpoint had sent any byte since the request
     */
    void onConnectionFailure(String reason, boolean answerBegun);
}
