package org.bulrushwheel.logic.retry;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertTrue;

class WindowedRetryBudgetTest {
    private static final double RATIO = 0.2;
    private static final double SLACK = 135;
    private static final long WINDOW_MILLIS = 10_000;

    @ParameterizedTest
    @CsvSource({"24, 7", "24, 0", "3, 50", "1, 200"})
    void allInstancesTogetherStayWithinTheCommonBoundInEveryWindow(int instances, int requestsPerSecond) {
        List<WindowedRetryBudget> budgets = new ArrayList<>();
        for (int instance = 0; instance < instances; instance++) {
            budgets.add(new WindowedRetryBudget(WINDOW_MILLIS, RATIO, SLACK));
        }
        List<Long> retries = new ArrayList<>();
        for (long second = 0; second < 40; second++) {
            for (WindowedRetryBudget budget : budgets) {
                for (int request = 0; request < requestsPerSecond; request++) {
                    budget.onRequest(second * 1_000);
                }
                while (budget.tryRetry(second * 1_000, instances)) {
                    retries.add(second * 1_000);
                }
            }
            long from = second * 1_000 - WINDOW_MILLIS;
            long inWindow = retries.stream().filter(at -> at > from).count();
            long requests = Math.min(10, second + 1) * requestsPerSecond * instances;
            assertTrue(inWindow <= RATIO * requests + SLACK, inWindow + " retries at second " + second);
        }
        assertTrue(!retries.isEmpty());
    }
}
