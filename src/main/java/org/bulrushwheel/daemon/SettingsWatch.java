package org.bulrushwheel.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Either;
import org.bulrushwheel.kernel.KernelService;
import org.bulrushwheel.kernel.ServiceTimer;
import org.bulrushwheel.logic.settings.SettingsReader;
import org.bulrushwheel.model.decision.Decision;
import org.bulrushwheel.model.decision.DecisionField;
import org.bulrushwheel.model.decision.DecisionKind;
import org.bulrushwheel.model.decision.DecisionSink;
import org.bulrushwheel.model.settings.FleetSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reloads the settings file when its content changes, by polling and on request (SIGHUP).
 *
 * <p>Invariant: an unreadable or invalid file leaves the current settings in force. Thread safe.
 */
public final class SettingsWatch implements KernelService {
    /** Name in the kernel. */
    public static final String NAME = "settings-watch";

    private static final Logger LOGGER = LoggerFactory.getLogger(SettingsWatch.class);
    private static final long POLL_MILLIS = 1_000;

    private final Path file;
    private final ServiceTimer timer;
    private volatile FleetSettings current;
    private volatile DecisionSink decisions = DecisionSink.NONE;
    private String document;

    /** Watches a file whose content has already been read as {@code document} and parsed as {@code settings}. */
    public SettingsWatch(Path file, String document, FleetSettings settings) {
        this.file = file;
        this.document = document;
        this.current = settings;
        this.timer = new ServiceTimer(NAME, new MetricRegistry());
    }

    /** Sets the sink that records each reload of the settings; the default discards the records. */
    public void setDecisionSink(DecisionSink sink) {
        decisions = sink;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        timer.every(POLL_MILLIS, this::readAgain);
    }

    @Override
    public void stop() {
        timer.close();
    }

    /** Returns the settings of the last successful read. */
    public FleetSettings current() {
        return current;
    }

    /** Reloads the file now if its content has changed; an unreadable or invalid file leaves the settings in force. */
    public synchronized void readAgain() {
        try {
            String latest = Files.readString(file);
            if (latest.equals(document)) {
                return;
            }
            document = latest;
            Either<List<String>, FleetSettings> read = SettingsReader.readFleet(latest);
            if (read.isRight()) {
                current = read.get();
                decisions.record(Decision.of(DecisionKind.SETTINGS_READ).with(DecisionField.SEEDS, current.seeds()));
            } else {
                decisions.record(Decision.of(DecisionKind.SETTINGS_READ)
                        .with(DecisionField.REASON, "they stay as they were: " + read.getLeft())
                        .asFailure());
            }
        } catch (IOException e) {
            LOGGER.warn("cannot read settings file {}; keeping the current settings", file, e);
        }
    }
}
