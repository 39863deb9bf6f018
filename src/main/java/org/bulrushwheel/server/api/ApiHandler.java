package org.bulrushwheel.server.api;

import java.util.concurrent.CompletionStage;

/** Handles requests. Called on an event loop, so implementations must not block. */
@FunctionalInterface
public interface ApiHandler {
    /** Handles a request; if the stage fails, the caller receives status 503. */
    CompletionStage<ApiReply> handle(ApiCall call);
}
