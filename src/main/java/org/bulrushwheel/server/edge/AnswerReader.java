package org.bulrushwheel.server.edge;

import java.util.OptionalInt;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Interprets the status and the protocol headers of an endpoint's response.
 *
 * <p>Immutable and thread safe.
 */
final class AnswerReader {
    private final EdgeHeaders headerNames;

    AnswerReader(EdgeHeaders headerNames) {
        this.headerNames = headerNames;
    }

    /** Returns whether the endpoint reports that it did not run the request. */
    boolean isNotRun(EdgeAnswer answer) {
        return isNotRun(answer.status(), answer.headers());
    }

    /** Returns whether a response with this status and these headers reports that the request was not run. */
    boolean isNotRun(HttpResponseStatus status, HttpHeaders headers) {
        return isMisdirected(status) || headers.contains(headerNames.notExecuted());
    }

    /** Returns whether a different endpoint than the expected one now serves at the address (status 421). */
    boolean isMisdirected(EdgeAnswer answer) {
        return isMisdirected(answer.status());
    }

    private static boolean isMisdirected(HttpResponseStatus status) {
        return status.code() == HttpResponseStatus.MISDIRECTED_REQUEST.code();
    }

    /** Returns whether endpoints sign their responses and this response has no signature header. */
    boolean isUnsigned(EdgeAnswer answer) {
        return !headerNames.signature().isEmpty() && !answer.headers().contains(headerNames.signature());
    }

    /** Returns the number of running plus waiting requests at the endpoint; empty if it did not report both. */
    OptionalInt load(EdgeAnswer answer) {
        String load = answer.headers().get(headerNames.load());
        if (load == null) {
            return OptionalInt.empty();
        }
        String[] fields = load.split(",");
        try {
            return OptionalInt.of(Integer.parseInt(fields[0].strip()) + Integer.parseInt(fields[1].strip()));
        } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
            // An unreadable load report is ignored; the load is then estimated from this instance's own counts.
            return OptionalInt.empty();
        }
    }
}
