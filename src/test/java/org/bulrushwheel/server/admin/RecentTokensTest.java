package org.bulrushwheel.server.admin;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RecentTokensTest {
    private final RecentTokens recentTokens = new RecentTokens();

    @Test
    void tokenIsRetainedForAMinuteAfterAuthentication() {
        assertFalse(recentTokens.contains("hash", 0));
        recentTokens.add("hash", 0);
        assertTrue(recentTokens.contains("hash", 59_999));
        assertFalse(recentTokens.contains("hash", 60_000));
        assertFalse(recentTokens.contains("other", 1));
    }
}
