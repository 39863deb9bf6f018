package org.bulrushwheel.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

import org.bulrushwheel.daemon.DefaultInterfaces;
import org.bulrushwheel.daemon.FleetInterfaces;
import org.bulrushwheel.daemon.SettingsWatch;
import org.bulrushwheel.logging.LogOutput;
import org.bulrushwheel.logic.settings.SettingsReader;
import org.bulrushwheel.model.settings.FleetSettings;
import org.bulrushwheel.platform.PlatformInterfaces;
import picocli.CommandLine.Option;
import sun.misc.Signal;

/** Options of the processes of a deployment that is found from seeds. */
final class FleetOptions {
    @Option(
            names = "--settings",
            defaultValue = "${env:BULRUSHWHEEL_NODE_FILE}",
            description = "TOML file with the settings of this instance (default: the path in BULRUSHWHEEL_NODE_FILE).")
    private Path settingsPath;

    @Option(
            names = "--interfaces",
            defaultValue = "OWN",
            description =
                    "How callers, endpoints and operators are spoken to: ${COMPLETION-CANDIDATES} (${DEFAULT-VALUE}).")
    private Interfaces interfaces;

    /** Interfaces that can be chosen. */
    enum Interfaces {
        OWN,
        PLATFORM;

        FleetInterfaces make() {
            return this == OWN ? new DefaultInterfaces() : new PlatformInterfaces();
        }
    }

    FleetInterfaces interfaces() {
        return interfaces.make();
    }

    SettingsWatch watch() {
        LogOutput.ofServingProcess();
        try {
            String document = Files.readString(settingsPath);
            FleetSettings settings = SettingsReader.readFleet(document)
                    .getOrElseThrow(faults -> new UsageException(settingsPath + ": " + String.join("; ", faults)));
            return new SettingsWatch(settingsPath, document, settings);
        } catch (IOException e) {
            throw new UsageException("cannot read " + settingsPath + "; name a readable file with --settings");
        }
    }

    /** Closes the daemon at the signal to stop and waits for that. */
    static void runUntilStopped(SettingsWatch watch, Runnable start, Runnable close) throws InterruptedException {
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            close.run();
            // What is logged last is written by another thread.
            LogOutput.close();
            stopped.countDown();
        }));
        // The virtual machine would take a hang-up for the signal to stop; settings are read again instead.
        Signal.handle(new Signal("HUP"), signal -> watch.readAgain());
        watch.start();
        start.run();
        stopped.await();
    }
}
