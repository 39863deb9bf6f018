package org.bulrushwheel.server.edge;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.jspecify.annotations.Nullable;

/**
 * A request that waits for its response to be written in the order of its connection.
 *
 * <p>Invariant: it has an exchange once it is worked on, and an answer once that is whole and not yet written. Not thread
 * safe: confined to the event loop of its {@link CallerConnection}, which sets the fields.
 */
final class PipelinedRequest {
    final CallerRequest request;
    final boolean acceptsChunks;

    @Nullable
    Exchange exchange;

    @Nullable
    EdgeAnswer answer;

    CallerConnection.@Nullable StreamedAnswer stream;

    /** The endpoint's connection that waits until this answer is the next one to be written. */
    @Nullable
    PausableSource waitingSource;

    PipelinedRequest(CallerRequest request, boolean acceptsChunks) {
        this.request = request;
        this.acceptsChunks = acceptsChunks;
    }

    /** Returns a request that cannot be read; its connection is closed with this answer. */
    static PipelinedRequest unreadable(EdgeAnswer answer, long receivedMillis) {
        PipelinedRequest unreadable = new PipelinedRequest(
                new CallerRequest(
                        HttpMethod.GET, "", EmptyHttpHeaders.INSTANCE, Unpooled.EMPTY_BUFFER, false, receivedMillis),
                false);
        unreadable.answer = answer;
        return unreadable;
    }

    void resumeSource() {
        if (waitingSource != null) {
            waitingSource.setPaused(false);
            waitingSource = null;
        }
    }

    /** Ends the work on a request whose response nobody waits for. */
    void abandon() {
        if (answer != null) {
            answer.body().release();
        } else if (exchange != null) {
            exchange.cancel();
        } else {
            request.body().release();
        }
    }
}
