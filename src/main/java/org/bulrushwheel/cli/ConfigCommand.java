package org.bulrushwheel.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;

import org.bulrushwheel.client.HttpAnswer;
import org.bulrushwheel.logic.config.ConfigurationChecker;
import org.bulrushwheel.logic.config.ConfigurationCodec;
import org.bulrushwheel.logic.config.ConfigurationDelta;
import org.bulrushwheel.logic.config.ConfigurationGenerator;
import org.bulrushwheel.logic.config.QuestionnaireAnswers;
import org.bulrushwheel.model.config.Configuration;
import org.bulrushwheel.server.admin.AdminHandler;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Work on configurations. */
@Command(
        name = "config",
        mixinStandardHelpOptions = true,
        description = "Generate, check, show and accept configurations.",
        subcommands = {
            ConfigCommand.Questionnaire.class,
            ConfigCommand.Generate.class,
            ConfigCommand.Check.class,
            ConfigCommand.Show.class,
            ConfigCommand.Accept.class,
            ConfigCommand.History.class
        })
final class ConfigCommand {
    private static Configuration readChecked(Path path) {
        Configuration configuration = readDocument(Documents.read(path), path.toString());
        List<String> faults = ConfigurationChecker.check(configuration);
        if (!faults.isEmpty()) {
            throw new UsageException(path + " has faults:\n  " + String.join("\n  ", faults));
        }
        return configuration;
    }

    private static Configuration readDocument(String document, String name) {
        return ConfigurationCodec.read(document, Configuration.class)
                .getOrElseThrow(fault -> new UsageException(name + ": " + fault));
    }

    /** Asks the questions. */
    @Command(
            name = "questionnaire",
            mixinStandardHelpOptions = true,
            description = "Ask the questions on the terminal and print the answers as TOML.")
    static final class Questionnaire implements Callable<Integer> {
        @Override
        public Integer call() {
            System.out.print(ConfigurationCodec.write(new QuestionnaireDialogue(System.in, System.err).ask()));
            return ExitCodes.DONE;
        }
    }

    /** Shows the audit trail. */
    @Command(
            name = "history",
            mixinStandardHelpOptions = true,
            description = "Show who changed what, oldest first, as JSON lines.")
    static final class History implements Callable<Integer> {
        @Mixin
        private AdminOptions admin;

        @Override
        public Integer call() {
            HttpAnswer answer = admin.call("GET", AdminHandler.HISTORY_PATH, Map.of(), new byte[0]);
            answer.json().forEach(System.out::println);
            return ExitCodes.DONE;
        }
    }

    /** Generates a configuration from answers. */
    @Command(
            name = "generate",
            mixinStandardHelpOptions = true,
            description = "Generate a configuration from answers to the questionnaire, on standard output.")
    static final class Generate implements Callable<Integer> {
        @Parameters(paramLabel = "ANSWERS", description = "TOML file with the answers.")
        private Path answersPath;

        @Override
        public Integer call() {
            QuestionnaireAnswers answers = ConfigurationCodec.read(
                            Documents.read(answersPath), QuestionnaireAnswers.class)
                    .getOrElseThrow(fault -> new UsageException(answersPath + ": " + fault));
            System.out.print(ConfigurationCodec.write(ConfigurationGenerator.generate(answers)));
            return ExitCodes.DONE;
        }
    }

    /** Checks a configuration. */
    @Command(name = "check", mixinStandardHelpOptions = true, description = "List every fault of a configuration.")
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "CONFIGURATION", description = "TOML file with the configuration.")
        private Path path;

        @Override
        public Integer call() {
            readChecked(path);
            System.out.println(path + ": no faults");
            return ExitCodes.DONE;
        }
    }

    /** Shows the configuration in force. */
    @Command(name = "show", mixinStandardHelpOptions = true, description = "Show the configuration in force.")
    static final class Show implements Callable<Integer> {
        @Mixin
        private AdminOptions admin;

        @Override
        public Integer call() {
            HttpAnswer answer = admin.call("GET", AdminHandler.CONFIGURATION_PATH, Map.of(), new byte[0]);
            System.out.println(
                    "# version " + answer.header("Bulrushwheel-Version").orElse("?"));
            System.out.print(answer.text());
            return ExitCodes.DONE;
        }
    }

    /** Accepts a configuration. */
    @Command(
            name = "accept",
            mixinStandardHelpOptions = true,
            description = "Accept a configuration; send it again under the same change id when no answer came.")
    static final class Accept implements Callable<Integer> {
        @Mixin
        private AdminOptions admin;

        @Parameters(paramLabel = "CONFIGURATION", description = "TOML file with the configuration.")
        private Path path;

        @Option(
                names = "--expected-version",
                required = true,
                description = "Version that the file was made from; 0 for the first.")
        private long expectedVersion;

        @Option(names = "--change-id", description = "Identity of the change; a new one by default.")
        private String changeId = java.util.UUID.randomUUID().toString();

        @Override
        public Integer call() {
            Configuration wanted = readChecked(path);
            showDifference(wanted);
            System.err.println("change id " + changeId);
            HttpAnswer answer = admin.call(
                    "POST",
                    AdminHandler.CONFIGURATION_PATH,
                    Map.of(
                            AdminHandler.EXPECTED_VERSION.toString(),
                            Long.toString(expectedVersion),
                            AdminHandler.CHANGE_ID.toString(),
                            changeId),
                    Documents.read(path).getBytes(java.nio.charset.StandardCharsets.UTF_8));
            System.out.println(
                    "accepted as version " + answer.json().path("version").asLong());
            return ExitCodes.DONE;
        }

        private void showDifference(Configuration wanted) {
            HttpAnswer answer = admin.call("GET", AdminHandler.CONFIGURATION_PATH, Map.of(), new byte[0]);
            Configuration current = answer.text().isEmpty()
                    ? Configuration.EMPTY
                    : readDocument(answer.text(), "configuration in force");
            ConfigurationDelta.between(current, wanted).describe(current).forEach(System.err::println);
        }
    }
}
