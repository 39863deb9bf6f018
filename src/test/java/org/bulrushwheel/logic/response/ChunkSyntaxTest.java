package org.bulrushwheel.logic.response;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ChunkSyntaxTest {
    private static boolean isMalformed(String body, int partBytes) {
        ChunkSyntax syntax = new ChunkSyntax();
        ByteBuffer bytes = ByteBuffer.wrap(body.getBytes(StandardCharsets.ISO_8859_1));
        for (int from = 0; from < bytes.limit(); from += partBytes) {
            syntax.accept(bytes, from, Math.min(from + partBytes, bytes.limit()));
        }
        return syntax.isMalformed();
    }

    /** Guards against malformed chunks that are taken for sound ones, however they arrive. */
    @ParameterizedTest
    @EnumSource
    void malformedChunksAreFound(MalformedChunks shape) {
        for (int partBytes : new int[] {1, 2, 3, 7, 1_000}) {
            assertTrue(isMalformed(shape.body(), partBytes), "in parts of " + partBytes);
        }
    }

    /** Guards against sound responses that are not passed on. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "0\r\n\r\n",
                "5\r\nwhole\r\n0\r\n\r\n",
                "A\r\n\r\n0\r\n\r\n\r\nx\r\n000\r\n\r\n",
                "00f\r\n123456789012345\r\n0\r\nTrailer x: y\r\n\r\n",
                "5;a=b;c=\"\u00e9\t d\"\r\nwhole\r\n0;e\r\n\r\n",
                "5 \t;a\r\nwhole\r\n0 \r\n\r\n",
                "5\r\nwhole\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n"
            })
    void soundChunksAreAccepted(String body) {
        for (int partBytes : new int[] {1, 2, 3, 7, 1_000}) {
            assertFalse(isMalformed(body, partBytes), "in parts of " + partBytes);
        }
    }
}
