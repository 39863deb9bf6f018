package org.bulrushwheel.server.api;

import java.util.concurrent.CompletionStage;

/** Answers calls. Called on an event loop; it must not block. */
@FunctionalInterface
public interface ApiHandler {
    /** Answers a call; a failure becomes 503. */
    CompletionStage<ApiReply> handle(ApiCall call);
}
