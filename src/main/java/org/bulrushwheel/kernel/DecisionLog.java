package org.bulrushwheel.kernel;

import java.util.concurrent.atomic.AtomicLong;

import org.bulrushwheel.logic.decision.DecisionSampler;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.decision.Decision;
import org.bulrushwheel.model.decision.DecisionField;
import org.bulrushwheel.model.decision.DecisionSink;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Writes the decisions of a process as structured log lines.
 *
 * <p>Invariant: never blocks; failures are logged at level WARN, all other decisions at INFO. Thread safe.
 */
public final class DecisionLog implements DecisionSink {
    /** Name of the logger, which distinguishes decisions from other log lines. */
    public static final String LOGGER_NAME = "decisions";

    private static final Logger LOGGER = LoggerFactory.getLogger(LOGGER_NAME);

    private final String instance;
    private final TimeSource time;
    private final DecisionSampler sampler = new DecisionSampler();
    private final AtomicLong sampledOut = new AtomicLong();

    /** Creates the decision log of an instance. */
    public DecisionLog(String instance, TimeSource time) {
        this.instance = instance;
        this.time = time;
    }

    @Override
    public void record(Decision decision) {
        if (!decision.failure() && !LOGGER.isInfoEnabled()) {
            return;
        }
        if (!keeps(decision)) {
            sampledOut.incrementAndGet();
            return;
        }
        LoggingEventBuilder line = decision.failure() ? LOGGER.atWarn() : LOGGER.atInfo();
        line = line.addKeyValue(DecisionField.INSTANCE.key(), instance);
        for (java.util.Map.Entry<DecisionField, Object> field :
                decision.fields().entrySet()) {
            line = line.addKeyValue(field.getKey().key(), field.getValue());
        }
        line.log(decision.kind().key());
    }

    /** Returns the number of decisions that were not logged because of sampling; failures are never sampled out. */
    public long sampledOut() {
        return sampledOut.get();
    }

    private synchronized boolean keeps(Decision decision) {
        return sampler.keeps(decision, time.monotonicMillis());
    }
}
