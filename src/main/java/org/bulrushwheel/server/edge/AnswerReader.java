package org.bulrushwheel.server.edge;

import java.util.OptionalInt;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Reads what an endpoint's answer says beside its body.
 *
 * <p>Immutable and thread safe.
 */
final class AnswerReader {
    private final EdgeHeaders names;

    AnswerReader(EdgeHeaders names) {
        this.names = names;
    }

    /** Whether the endpoint says that it did not run the request. */
    boolean isNotRun(EdgeAnswer answer) {
        return isOtherEndpoint(answer) || answer.headers().contains(names.notExecuted());
    }

    /** Whether another endpoint than the expected one has the address. */
    boolean isOtherEndpoint(EdgeAnswer answer) {
        return answer.status().code() == HttpResponseStatus.MISDIRECTED_REQUEST.code();
    }

    /** Whether an answer lacks the proof that it is the endpoint's. */
    boolean isUnsigned(EdgeAnswer answer) {
        return !names.signature().isEmpty() && !answer.headers().contains(names.signature());
    }

    /** Returns the requests that run and wait at the endpoint, when it tells them in full. */
    OptionalInt load(EdgeAnswer answer) {
        String load = answer.headers().get(names.load());
        if (load == null) {
            return OptionalInt.empty();
        }
        String[] parts = load.split(",");
        try {
            return OptionalInt.of(Integer.parseInt(parts[0].strip()) + Integer.parseInt(parts[1].strip()));
        } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
            // A load that can't be read says nothing; own counts decide.
            return OptionalInt.empty();
        }
    }
}
