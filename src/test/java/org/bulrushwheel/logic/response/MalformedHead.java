package org.bulrushwheel.logic.response;

/** Response heads that are not HTTP/1.1 (RFC 9112, section 4), each made of a sound response. */
public enum MalformedHead {
    STATUS_000("200 OK", "000 OK"),
    STATUS_099("200 OK", "099 OK"),
    STATUS_600("200 OK", "600 OK"),
    STATUS_999("200 OK", "999 OK"),
    STATUS_OF_TWO_DIGITS("200 OK", "20 OK"),
    STATUS_OF_FOUR_DIGITS("200 OK", "2000 OK"),
    STATUS_WITH_LEADING_ZERO("200 OK", "0200 OK"),
    STATUS_WITH_SIGN("200 OK", "+200 OK"),
    STATUS_WITH_LETTER("200 OK", "2x0 OK"),
    STATUS_WITH_CONTROL_BYTE("200 OK", "2\u00000 OK"),
    STATUS_AND_REASON_JOINED("200 OK", "200OK"),
    STATUS_MISSING(" 200 OK", ""),
    REASON_WITH_CONTROL_BYTE("200 OK", "200 O\u0000K"),
    REASON_WITH_CARRIAGE_RETURN("200 OK", "200 O\rK"),
    PROTOCOL_UNKNOWN("HTTP/1.1", "ICY/1.1"),
    PROTOCOL_MISSPELT("HTTP/1.1", "HTTQ/1.1"),
    PROTOCOL_IN_LOWER_CASE("HTTP/1.1", "http/1.1"),
    VERSION_OTHER_MAJOR("HTTP/1.1", "HTTP/3.1"),
    VERSION_OTHER_MINOR("HTTP/1.1", "HTTP/1.7"),
    VERSION_WITH_CONTROL_BYTE("HTTP/1.1", "HTTP/1.1\u0001"),
    CONTROL_BYTES_BEFORE_STATUS_LINE("HTTP/1.1", "\u0000\u0001HTTP/1.1"),
    BLANK_BEFORE_STATUS_LINE("HTTP/1.1", " HTTP/1.1"),
    TAB_IN_PLACE_OF_BLANK("HTTP/1.1 200", "HTTP/1.1\t200");

    private final String sound;
    private final String broken;

    MalformedHead(String sound, String broken) {
        this.sound = sound;
        this.broken = broken;
    }

    /**
     * Returns a sound response of endpoints.
     *
     * @param requestId ID of its request
     */
    public static String soundResponse(String requestId) {
        return "HTTP/1.1 200 OK\r\nBulrushwheel-Request-Id: " + requestId
                + "\r\nNote: sound\r\nContent-Length: 5\r\n\r\nwhole";
    }

    /** Returns the response with its head broken. */
    public String in(String soundResponse) {
        if (!soundResponse.contains(sound)) {
            throw new IllegalArgumentException("nothing to break for " + this + " in " + soundResponse);
        }
        return soundResponse.replaceFirst(
                java.util.regex.Pattern.quote(sound), java.util.regex.Matcher.quoteReplacement(broken));
    }
}
