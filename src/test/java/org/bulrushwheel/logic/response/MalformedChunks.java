package org.bulrushwheel.logic.response;

/** Bodies in chunks that break the grammar of HTTP/1.1 (RFC 9112, section 7.1). */
public enum MalformedChunks implements MalformedShape {
    DATA_LONGER_THAN_SIZE("5\r\nwhole and more\r\n0\r\n\r\n"),
    DATA_LONGER_BY_ONE("5\r\nwhole!\r\n0\r\n\r\n"),
    DATA_WITHOUT_END_OF_LINE("5\r\nwhole0\r\n\r\n"),
    SECOND_DATA_LONGER_THAN_SIZE("5\r\nwhole\r\n1\r\nxyz\r\n0\r\n\r\n"),
    SIZE_MISSING("\r\nwhole\r\n0\r\n\r\n"),
    SIZE_OF_SECOND_MISSING("5\r\nwhole\r\n\r\n0\r\n\r\n"),
    SIZE_WITH_SIGN("+5\r\nwhole\r\n0\r\n\r\n"),
    SIZE_NEGATIVE("-5\r\nwhole\r\n0\r\n\r\n"),
    SIZE_WITH_PREFIX("0x5\r\nwhole\r\n0\r\n\r\n"),
    SIZE_WITH_LETTER("5g\r\nwhole\r\n0\r\n\r\n"),
    SIZE_FOLLOWED_BY_WORD("5 x\r\nwhole\r\n0\r\n\r\n"),
    SIZE_WITH_LEADING_BLANK(" 5\r\nwhole\r\n0\r\n\r\n"),
    SIZE_WITH_CONTROL_BYTE("5\u0001\r\nwhole\r\n0\r\n\r\n"),
    SIZE_WITH_CARRIAGE_RETURN("5\r5\r\nwhole\r\n0\r\n\r\n"),
    SIZE_TOO_LARGE("10000000000000005\r\nwhole\r\n0\r\n\r\n"),
    EXTENSION_WITH_CONTROL_BYTE("5;a=\u0000\r\nwhole\r\n0\r\n\r\n");

    private final String body;

    MalformedChunks(String body) {
        this.body = body;
    }

    /** Returns the body. */
    public String body() {
        return body;
    }

    @Override
    public String response(String requestId) {
        return chunkedHead(requestId) + body;
    }

    /**
     * Returns the head of a response in chunks.
     *
     * @param requestId ID of its request
     */
    public static String chunkedHead(String requestId) {
        return MalformedHead.soundResponse(requestId)
                .replace("Content-Length: 5\r\n\r\nwhole", "Transfer-Encoding: chunked\r\n\r\n");
    }
}
