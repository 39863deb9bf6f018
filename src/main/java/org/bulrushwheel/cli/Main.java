package org.bulrushwheel.cli;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import org.bulrushwheel.logging.LogOutput;
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
        description = "Global traffic steering for shift supervisors.")
public final class Main {
    private static final List<Class<?>> COMMANDS = List.of(
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
            ExplainCommand.class,
            AutoComplete.GenerateCompletion.class);

    private Main() {}

    /** Runs the program. */
    public static void main(String[] arguments) {
        System.setProperty("org.jboss.logging.provider", "slf4j");
        int code = run(arguments);
        LogOutput.close();
        System.exit(code);
    }

    /** Runs one command and returns its exit code. */
    public static int run(String... arguments) {
        CommandLine commandLine = new CommandLine(new Main());
        // A process that is started again within seconds must not set up the commands that it does not run.
        Optional<Class<?>> named = named(arguments);
        COMMANDS.stream()
                .filter(command -> named.isEmpty() || named.get() == command)
                .forEach(commandLine::addSubcommand);
        commandLine.setExecutionExceptionHandler((exception, failed, parsed) -> {
            failed.getErr().println(failed.getColorScheme().errorText(describe(exception)));
            return exception instanceof UsageException ? ExitCodes.USAGE : ExitCodes.FAILED;
        });
        return commandLine.execute(arguments);
    }

    private static Optional<Class<?>> named(String... arguments) {
        // The shells' completion is made from all commands.
        return Arrays.stream(arguments).findFirst().flatMap(name -> COMMANDS.stream()
                .filter(command -> command != AutoComplete.GenerateCompletion.class)
                .filter(command -> name.equals(
                        command.getAnnotation(CommandLine.Command.class).name()))
                .findFirst());
    }

    private static String describe(Exception exception) {
        return exception.getMessage() == null ? exception.toString() : exception.getMessage();
    }
}
