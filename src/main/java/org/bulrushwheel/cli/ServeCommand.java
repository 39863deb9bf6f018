package org.bulrushwheel.cli;

import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

import org.bulrushwheel.daemon.Daemon;
import org.bulrushwheel.logging.LogOutput;
import org.bulrushwheel.model.settings.Settings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs one instance until it is told to stop. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = "Run one entry instance, with a control replica where its settings name a data folder.")
final class ServeCommand implements Callable<Integer> {
    @Option(names = "--settings", required = true, description = "TOML file with the settings of this instance.")
    private Path settingsPath;

    @Option(names = "--io-threads", defaultValue = "2", description = "Threads that carry requests (${DEFAULT-VALUE}).")
    private int ioThreads;

    @Override
    public Integer call() throws InterruptedException {
        Settings settings = Documents.settings(settingsPath);
        LogOutput.ofServingProcess();
        Optional.ofNullable(settings.logFormat()).ifPresent(LogOutput::useFormat);
        Daemon daemon = new Daemon(settings, ioThreads);
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            daemon.leaveAndClose();
            LogOutput.close();
            stopped.countDown();
        }));
        daemon.start();
        stopped.await();
        return ExitCodes.DONE;
    }
}
