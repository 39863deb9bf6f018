package org.bulrushwheel.kernel;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

import com.codahale.metrics.MetricRegistry;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.decision.Decision;
import org.bulrushwheel.model.decision.DecisionField;
import org.bulrushwheel.model.decision.DecisionKind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

class StallMonitorTest {
    /** The clock goes on by a fixed step between checks, whatever the machine does meanwhile. */
    @ParameterizedTest
    @CsvSource({"250, false", "700, false", "750, true", "5000, true"})
    void checkThatComesMuchTooLateIsRecordedAsAStall(long stepMillis, boolean expected) throws InterruptedException {
        AtomicLong nowMillis = new AtomicLong();
        TimeSource time = new TimeSource() {
            @Override
            public long monotonicMillis() {
                return nowMillis.getAndAdd(stepMillis);
            }

            @Override
            public long epochMillis() {
                return 0;
            }
        };
        List<Decision> decisions = new CopyOnWriteArrayList<>();
        StallMonitor monitor = new StallMonitor(time, new MetricRegistry(), decisions::add);
        monitor.start();
        while (nowMillis.get() < 3 * stepMillis) {
            Thread.sleep(10);
        }
        monitor.stop();
        assertEquals(expected, !decisions.isEmpty());
        decisions.forEach(decision -> {
            assertEquals(DecisionKind.STALLED, decision.kind());
            assertEquals(stepMillis - 250, decision.fields().get(DecisionField.STALLED_MILLIS));
        });
    }
}
