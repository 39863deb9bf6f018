package org.bulrushwheel.cli;

import picocli.AutoComplete;
import picocli.CommandLine;

/**
 * Entrance of the program. Exit codes: 0 done, 1 refused or failed, 2 wrong usage or settings.
 *
 * <p>Stateless.
 */
@CommandLine.Command(
        name = "bulrushwheel",
        mixinStandardHelpOptions = true,
        version = "bulrushwheel 0.1.0",
        description = "Global traffic steering for shift supervisors.",
        subcommands = {
            QuickstartCommand.class,
            ServeCommand.class,
            EntryCommand.class,
            ControlInstanceCommand.class,
            RehearseCommand.class,
            ConfigCommand.class,
            ControlCommand.class,
            LookupCommand.class,
            StatusCommand.class,
            DrainCommand.class,
            OperatorCommand.class,
            UpstreamCommand.class,
            MeasureCommand.class,
            AutoComplete.GenerateCompletion.class
        })
public final class Main {
    private Main() {}

    /** Runs the program. */
    public static void main(String[] arguments) {
        System.setProperty("org.jboss.logging.provider", "slf4j");
        System.exit(run(arguments));
    }

    /** Runs one command and returns its exit code. */
    public static int run(String... arguments) {
        CommandLine commandLine = new CommandLine(new Main());
        commandLine.setExecutionExceptionHandler((exception, failed, parsed) -> {
            failed.getErr().println(failed.getColorScheme().errorText(describe(exception)));
            return exception instanceof UsageException ? ExitCodes.USAGE : ExitCodes.FAILED;
        });
        return commandLine.execute(arguments);
    }

    private static String describe(Exception exception) {
        return exception.getMessage() == null ? exception.toString() : exception.getMessage();
    }
}
