package org.bulrushwheel.server.admin;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class KnownTokensTest {
    private final KnownTokens known = new KnownTokens();

    @Test
    void tokenIsKnownForAMinuteAfterItWasAnOperators() {
        assertFalse(known.contains("hash", 0));
        known.add("hash", 0);
        assertTrue(known.contains("hash", 59_999));
        assertFalse(known.contains("hash", 60_000));
        assertFalse(known.contains("other", 1));
    }
}
