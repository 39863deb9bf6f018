package org.bulrushwheel.logic.placement;

import java.util.OptionalLong;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

class LongestAnswersTest {
    private final LongestAnswers answers = new LongestAnswers();

    /** Two answers, of 900 ms at the start and of 200 ms after 40 s. */
    @ParameterizedTest
    @CsvSource({"40000, 900", "59999, 900", "60000, 200", "89999, 200"})
    void longAnswerIsKnownForAtLeastOneWindow(long atMillis, long expectedMillis) {
        answers.record("read", 900, 0);
        answers.record("file", 5_000, 0);
        answers.record("read", 200, 40_000);
        assertEquals(OptionalLong.of(expectedMillis), answers.longestMillis("read", atMillis));
    }

    @Test
    void nothingIsKnownOfARouteWithoutRecentAnswers() {
        answers.record("read", 900, 0);
        assertEquals(OptionalLong.empty(), answers.longestMillis("file", 0));
        assertEquals(OptionalLong.empty(), answers.longestMillis("read", 90_000));
    }
}
