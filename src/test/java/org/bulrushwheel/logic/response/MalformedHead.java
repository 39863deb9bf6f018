package org.bulrushwheel.logic.response;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Response heads that are not HTTP/1.1 (RFC 9112, sections 4 and 5), each made of a sound response. */
public enum MalformedHead implements MalformedShape {
    STATUS_000("200 OK", "000 OK"),
    STATUS_000_WITHOUT_REASON("200 OK", "000"),
    STATUS_000_WITH_EMPTY_REASON("200 OK", "000 "),
    STATUS_000_OF_EARLIER_VERSION("HTTP/1.1 200 OK", "HTTP/1.0 000 OK"),
    STATUS_000_BEHIND_INFORMATIONAL("HTTP/1.1 200 OK", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK"),
    STATUS_00("200 OK", "00 OK"),
    STATUS_0000("200 OK", "0000 OK"),
    STATUS_INFORMATIONAL_WITH_BODY("200 OK", "199 OK") {
        @Override
        public String response(String requestId) {
            // Ends the line that the body is by its place, the status line of the next head.
            return super.response(requestId) + "\r\n";
        }
    },
    STATUS_SWITCHING_WITH_BODY("200 OK", "101 Switching Protocols"),
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
    TAB_IN_PLACE_OF_BLANK("HTTP/1.1 200", "HTTP/1.1\t200"),

    NAME_WITH_BLANK("Note:", "No te:"),
    NAME_WITH_TAB("Note:", "No\tte:"),
    NAME_WITH_LEADING_BLANK("Note:", " Note:"),
    NAME_WITH_LEADING_BLANK_IN_FIRST_LINE("\r\nBulrushwheel", "\r\n First: sound\r\nBulrushwheel"),
    NAME_WITH_LEADING_TAB("Note:", "\tNote:"),
    NAME_WITH_TRAILING_BLANK("Note:", "Note :"),
    NAME_WITH_NUL("Note:", "No\u0000te:"),
    NAME_WITH_CONTROL_BYTE("Note:", "No\u0001te:"),
    NAME_WITH_TRAILING_CONTROL_BYTE("Note:", "Note\u001f:"),
    NAME_WITH_VERTICAL_TAB("Note:", "No\u000bte:"),
    NAME_WITH_CARRIAGE_RETURN("Note:", "No\rte:"),
    NAME_WITH_DELETE("Note:", "No\u007fte:"),
    NAME_WITH_EIGHTH_BIT("Note:", "No\u00e9te:"),
    NAME_WITH_NEXT_LINE("Note:", "No\u0085te:"),
    NAME_WITH_SEPARATOR("Note:", "No(te:"),
    NAME_EMPTY("Note:", ":"),
    NAME_WITHOUT_COLON("Note: sound", "Note"),
    LENGTH_NAME_WITH_BLANK("Content-Length:", "Content Length:"),
    LENGTH_NAME_FOLLOWED_BY_WORD("Content-Length: 5", "Content-Length x: 3"),
    LENGTH_NAME_WITH_TRAILING_BLANK("Content-Length: 5", "Content-Length : 3"),
    LENGTH_NAME_WITH_LEADING_BLANK("Content-Length:", " Content-Length:"),
    LENGTH_NAME_WITH_CONTROL_BYTE("Content-Length:", "Content\u0001Length:"),
    LENGTH_NAME_WITH_TRAILING_CONTROL_BYTE("Content-Length: 5", "Content-Length\u0001: 3"),
    LENGTH_NAME_FIRST_WITH_LEADING_BLANK(
            "\r\nBulrushwheel-Request-Id", "\r\n Content-Length: 3\r\nBulrushwheel-Request-Id"),
    ID_NAME_WITH_TRAILING_BLANK("Bulrushwheel-Request-Id:", "Bulrushwheel-Request-Id :"),
    CODING_NAME_WITH_BLANK("Content-Length: 5", "Transfer-Encoding x: chunked"),

    VALUE_WITH_NUL("sound", "so\u0000und"),
    VALUE_WITH_CONTROL_BYTE("sound", "so\u0001und"),
    VALUE_WITH_CARRIAGE_RETURN("sound", "so\rund"),
    VALUE_WITH_DELETE("sound", "so\u007fund"),
    VALUE_FOLDED("sound", "so\r\n und"),

    LENGTHS_THAT_DIFFER("Content-Length: 5", "Content-Length: 3\r\nContent-Length: 5"),
    LENGTH_REPEATED("Content-Length: 5", "Content-Length: 5\r\ncontent-length: 5"),
    LENGTH_LIST("Content-Length: 5", "Content-Length: 5, 5"),
    LENGTH_LIST_THAT_DIFFERS("Content-Length: 5", "Content-Length: 3, 5"),
    LENGTH_WITH_SIGN("Content-Length: 5", "Content-Length: +5"),
    LENGTH_NEGATIVE("Content-Length: 5", "Content-Length: -5"),
    LENGTH_WITH_LETTER("Content-Length: 5", "Content-Length: 5x"),
    LENGTH_OF_TWO_NUMBERS("Content-Length: 5", "Content-Length: 3 5"),
    LENGTH_EMPTY("Content-Length: 5", "Content-Length:"),
    LENGTH_TOO_LARGE("Content-Length: 5", "Content-Length: 99999999999999999999"),
    LENGTH_FOLLOWED_BY_WORD_AFTER_BLANKS("Content-Length: 5", "Content-Length: 5" + " ".repeat(70) + "x"),
    LENGTH_FOLLOWED_BY_NUMBER_AFTER_BLANKS("Content-Length: 5", "Content-Length: 5" + " ".repeat(70) + "3"),
    LENGTH_FOLLOWED_BY_LIST_AFTER_BLANKS("Content-Length: 5", "Content-Length: 5" + " ".repeat(70) + ", 3"),

    CODING_NOT_ASKED_FOR("Transfer-Encoding: gzip, chunked"),
    CODING_UNKNOWN("Transfer-Encoding: x-chunked"),
    CODING_EMPTY("Transfer-Encoding:"),
    CODING_IDENTITY("Transfer-Encoding: identity"),
    CODING_IDENTITY_WITH_LENGTH("Content-Length: 5", "Transfer-Encoding: identity\r\nContent-Length: 5"),
    CODING_NOT_ASKED_FOR_WITH_LENGTH("Content-Length: 5", "Transfer-Encoding: gzip\r\nContent-Length: 5"),
    CODING_CHUNKED_NOT_LAST("Transfer-Encoding: chunked, gzip"),
    CODING_CHUNKED_TWICE("Transfer-Encoding: chunked, chunked"),
    CODING_REPEATED("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"),
    CODING_WITH_PARAMETER("Transfer-Encoding: chunked;a=b"),
    CODING_BEHIND_NO_BREAK_SPACE("Transfer-Encoding: \u00a0chunked"),
    CODING_FOLLOWED_BY_WORD_AFTER_BLANKS("Transfer-Encoding: chunked" + " ".repeat(70) + "x"),
    CODING_AND_LENGTH("Transfer-Encoding: chunked\r\nContent-Length: 5"),
    CODING_AND_OTHER_LENGTH("Content-Length: 3\r\nTransfer-Encoding: chunked"),
    CODING_OF_EARLIER_VERSION("Transfer-Encoding: chunked") {
        @Override
        public String response(String requestId) {
            return super.response(requestId).replace("HTTP/1.1", "HTTP/1.0");
        }
    };

    private static final String SOUND_FRAMING = "Content-Length: 5\r\n\r\nwhole";

    private final String sound;
    private final String broken;

    MalformedHead(String sound, String broken) {
        this.sound = sound;
        this.broken = broken;
    }

    /** A head that is followed by a body in chunks, whatever its fields say. */
    MalformedHead(String framing) {
        this(SOUND_FRAMING, framing + "\r\n\r\n5\r\nwhole\r\n0\r\n\r\n");
    }

    /**
     * Returns a sound response of endpoints.
     *
     * @param requestId ID of its request
     */
    public static String soundResponse(String requestId) {
        return "HTTP/1.1 200 OK\r\nBulrushwheel-Request-Id: " + requestId + "\r\nNote: sound\r\n" + SOUND_FRAMING;
    }

    @Override
    public String response(String requestId) {
        return soundResponse(requestId).replaceFirst(Pattern.quote(sound), Matcher.quoteReplacement(broken));
    }
}
