package org.bulrushwheel.server.edge;

import java.util.Optional;
import java.util.OptionalInt;

import io.netty.handler.codec.http.HttpHeaderNames;
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

    /** Returns whether endpoints sign their responses and this response has none or several signatures. */
    boolean isUnsigned(EdgeAnswer answer) {
        return isUnsigned(answer.headers());
    }

    /** Returns whether endpoints sign their responses and one with these headers has none or several signatures. */
    boolean isUnsigned(HttpHeaders headers) {
        return !headerNames.signature().isEmpty()
                && headers.getAll(headerNames.signature()).size() != 1;
    }

    /** Returns whether the endpoint says that it leaves. */
    boolean isLeaving(EdgeAnswer answer) {
        return answer.headers().contains(headerNames.leaving());
    }

    /** Returns the value of {@code Retry-After} in a rejection by the endpoint itself; empty if there is none. */
    Optional<String> pause(EdgeAnswer answer) {
        boolean rejects = answer.status().code() == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                && (isNotRun(answer) || !isUnsigned(answer));
        return rejects ? Optional.ofNullable(answer.headers().get(HttpHeaderNames.RETRY_AFTER)) : Optional.empty();
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
