package org.bulrushwheel.cli;

import java.util.concurrent.Callable;

import org.bulrushwheel.daemon.FleetControlDaemon;
import org.bulrushwheel.daemon.SettingsWatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Runs one control instance that finds the others from seeds. */
@Command(
        name = "control-instance",
        mixinStandardHelpOptions = true,
        description = "Run one control instance of a deployment that is found from seeds.")
final class ControlInstanceCommand implements Callable<Integer> {
    @Mixin
    private FleetOptions options;

    @Override
    public Integer call() throws InterruptedException {
        SettingsWatch watch = options.watch();
        FleetControlDaemon daemon = new FleetControlDaemon(watch.current(), watch, options.interfaces());
        FleetOptions.runUntilStopped(watch, daemon::start, daemon::close);
        return ExitCodes.DONE;
    }
}
