package org.bulrushwheel.cli;

import java.util.concurrent.Callable;

import org.bulrushwheel.daemon.EdgeDaemon;
import org.bulrushwheel.daemon.SettingsWatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Runs one entry instance that finds control instances from seeds. */
@Command(
        name = "entry",
        mixinStandardHelpOptions = true,
        description = "Run one entry instance of a deployment that is found from seeds.")
final class EntryCommand implements Callable<Integer> {
    @Mixin
    private FleetOptions options;

    @Override
    public Integer call() throws InterruptedException {
        SettingsWatch watch = options.watch();
        EdgeDaemon daemon = new EdgeDaemon(watch.current(), watch, options.interfaces());
        FleetOptions.runUntilStopped(watch, daemon::start, daemon::close);
        return ExitCodes.DONE;
    }
}
