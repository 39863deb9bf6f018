package org.bulrushwheel.server.edge;

/**
 * Reasons why a response, or bytes that may be one, are not passed on.
 *
 * <p>Immutable and thread safe.
 */
enum DropReason {
    /** It names another request. */
    OTHER_REQUEST("other-request"),
    /** It names no request, and the connection has carried several. */
    UNNAMED("unnamed"),
    /** It was cut short in its head and goes on with another response. */
    JOINED("joined"),
    /** No request was in flight. */
    NOT_ASKED("not-asked"),
    /** It is no HTTP response, or has a line or headers that are too long. */
    MALFORMED("malformed"),
    /** Bytes that are neither a head nor a body have arrived without end. */
    NO_RESPONSE("no-response"),
    /** It holds, or has discarded, as much as one response may. */
    TOO_LONG("too-long"),
    /** The memory for responses was used up, and this one held the most. */
    NO_ROOM("no-room");

    private final String key;

    DropReason(String key) {
        this.key = key;
    }

    /** Returns the reason as it stands in log lines and in names of metrics. */
    String key() {
        return key;
    }
}
