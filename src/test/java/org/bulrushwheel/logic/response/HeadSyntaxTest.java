package org.bulrushwheel.logic.response;

import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class HeadSyntaxTest {
    private final HeadSyntax syntax = new HeadSyntax();

    private void accept(String bytes) {
        for (byte next : bytes.getBytes(StandardCharsets.ISO_8859_1)) {
            syntax.accept(next);
        }
    }

    /** Guards against a malformed head that is taken for a sound one, also behind other responses of its connection. */
    @ParameterizedTest
    @EnumSource
    void malformedHeadIsFound(MalformedHead shape) {
        String sound = MalformedHead.soundResponse("a1");
        for (String before : new String[] {"", "HTTP/1.1 100 Continue\r\n\r\n", sound}) {
            syntax.begin();
            accept(before);
            if (before.equals(sound)) {
                syntax.begin();
            }
            accept(shape.response("a1"));
            assertTrue(syntax.malformedPart().isPresent(), "behind " + before);
        }
    }

    /** Guards against a part that names the wrong place to an operator. */
    @Test
    void malformedPartIsNamed() {
        accept(MalformedHead.STATUS_000.response("a1"));
        assertEquals(HeadSyntax.Part.STATUS_LINE, syntax.malformedPart().orElseThrow());
        syntax.begin();
        accept(MalformedHead.NAME_WITH_BLANK.response("a1"));
        assertEquals(HeadSyntax.Part.FIELD_NAME, syntax.malformedPart().orElseThrow());
        syntax.begin();
        accept(MalformedHead.VALUE_WITH_NUL.response("a1"));
        assertEquals(HeadSyntax.Part.FIELD_VALUE, syntax.malformedPart().orElseThrow());
    }

    /** Guards against sound responses that are not passed on. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\n\r\n",
                "HTTP/1.0 200 OK\r\n\r\n",
                "HTTP/1.1 200 \r\n\r\n",
                "HTTP/1.1 200\r\n\r\n",
                "HTTP/1.1 200 OK\n\n",
                "HTTP/1.1 200\n\n",
                "HTTP/1.1 599 Not so good:\t\u00c3\u0085pen\r\n\r\n",
                "HTTP/1.1 404 Not Found\r\n!#$%&'*+-.^_`|~09AZaz:\r\n\r\n",
                "HTTP/1.1 200 OK\r\nA: \r\nB:\t a \tb:c \u00e9\u0080\u00ff\r\n\r\n",
                "HTTP/1.1 200 OK\r\nCONTENT-length:\t000000000000000005 \r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length:%BLANKS%5%BLANKS%\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTRANSFER-encoding:%BLANKS%Chunked%BLANKS%\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTE: gzip\r\nX-Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Lengths: 5x\r\nX-Content-Length: +5\r\nContent-Length: 0\n\n",
                "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"
            })
    void soundHeadIsAccepted(String shape) {
        String head = shape.replace("%BLANKS%", " ".repeat(100));
        accept(head.substring(0, head.length() - 1));
        assertFalse(syntax.isDecided());
        accept(head.substring(head.length() - 1) + "\u0000body");
        assertTrue(syntax.isDecided());
        assertEquals("", syntax.malformedPart().map(Object::toString).orElse(""));
    }
}
