package org.bulrushwheel.server.gateway;

/**
 * Reasons why a response cannot be taken for that of the attempt in flight.
 *
 * <p>Immutable and thread safe.
 */
enum DropReason {
    /** It names another request. */
    OTHER_REQUEST("other-request"),
    /** It names no request, and the connection has carried an earlier one. */
    UNNAMED("unnamed"),
    /** Its head contains the beginning of a second response. */
    JOINED("joined"),
    /** It is informational, and the client does not read the response that follows it. */
    INFORMATIONAL("informational"),
    /** Its head, or its division into chunks, is not HTTP/1.1. */
    MALFORMED("malformed");

    private final String key;

    DropReason(String key) {
        this.key = key;
    }

    /** Returns the reason as it stands in names of metrics. */
    String key() {
        return key;
    }
}
