package org.bulrushwheel.kernel;

import com.codahale.metrics.MetricRegistry;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.decision.Decision;
import org.bulrushwheel.model.decision.DecisionField;
import org.bulrushwheel.model.decision.DecisionKind;
import org.bulrushwheel.model.decision.DecisionSink;

/**
 * Records when the whole process has not run for a while, for example because it was frozen. A thread that waits for a
 * disk does not delay this service.
 *
 * <p>Thread safe: the time of the last check is accessed on the thread of the timer.
 */
public final class StallMonitor implements KernelService {
    /** Name of the service in the kernel. */
    public static final String NAME = "stall-monitor";

    private static final long CHECK_INTERVAL_MILLIS = 250;
    private static final long MIN_STALL_MILLIS = 500;

    private final TimeSource time;
    private final DecisionSink decisions;
    private final ServiceTimer timer;
    private final MetricRegistry metrics;
    private long lastCheckMillis;

    /** Creates the monitor of a process. */
    public StallMonitor(TimeSource time, MetricRegistry metrics, DecisionSink decisions) {
        this.time = time;
        this.metrics = metrics;
        this.decisions = decisions;
        this.timer = new ServiceTimer(NAME, metrics);
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        lastCheckMillis = time.monotonicMillis();
        timer.every(CHECK_INTERVAL_MILLIS, this::check);
    }

    @Override
    public void stop() {
        timer.close();
    }

    private void check() {
        long nowMillis = time.monotonicMillis();
        long stalledMillis = nowMillis - lastCheckMillis - CHECK_INTERVAL_MILLIS;
        lastCheckMillis = nowMillis;
        if (stalledMillis >= MIN_STALL_MILLIS) {
            metrics.counter("process.stalls").inc();
            decisions.record(Decision.of(DecisionKind.STALLED)
                    .with(DecisionField.DEPENDENCY, "process")
                    .with(DecisionField.STALLED_MILLIS, stalledMillis));
        }
    }
}
