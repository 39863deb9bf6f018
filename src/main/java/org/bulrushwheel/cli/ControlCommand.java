package org.bulrushwheel.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;

import org.bulrushwheel.control.ControlService;
import org.bulrushwheel.model.instance.Instance;
import org.bulrushwheel.model.settings.Settings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Work on control replicas. */
@Command(
        name = "control",
        mixinStandardHelpOptions = true,
        description = "Work on control replicas.",
        subcommands = ControlCommand.Bootstrap.class)
final class ControlCommand {
    /** Prepares the data folder of a first replica. */
    @Command(
            name = "bootstrap",
            mixinStandardHelpOptions = true,
            description = {
                "Prepare the data folder of one of the first replicas of a new deployment.",
                "Never for a replica whose disk was lost: start that one on an empty folder, and it joins anew."
            })
    static final class Bootstrap implements Callable<Integer> {
        @Option(names = "--settings", required = true, description = "TOML file with the settings of the instance.")
        private Path settingsPath;

        @Override
        public Integer call() {
            Settings settings = Documents.settings(settingsPath);
            Path folder = settings.dataPath()
                    .orElseThrow(() -> new UsageException("dataFolder is missing from the settings; add it"));
            ControlService.bootstrap(
                    folder,
                    settings.instance(),
                    settings.instances().stream()
                            .filter(Instance::control)
                            .map(Instance::name)
                            .toList());
            System.out.println("prepared " + folder);
            return ExitCodes.DONE;
        }
    }
}
