package org.bulrushwheel.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class MainTest {
    private record Ran(int code, String output) {}

    @ParameterizedTest
    @ValueSource(
            strings = {
                "quickstart",
                "serve",
                "entry",
                "control-instance",
                "rehearse",
                "config",
                "control",
                "lookup",
                "status",
                "drain",
                "operator",
                "upstream",
                "measure",
                "explain",
                "generate-completion"
            })
    void everyCommandExplainsItself(String command) {
        Ran ran = run(command, "--help");
        assertEquals(ExitCodes.DONE, ran.code());
        assertTrue(ran.output().contains("bulrushwheel " + command), ran.output());
    }

    @Test
    void helpNamesEveryCommand() {
        String help = run("--help").output();
        List.of("entry", "control-instance", "measure", "generate-completion")
                .forEach(command -> assertTrue(help.contains(command), help));
    }

    @Test
    void completionCoversTheOtherCommands() {
        assertTrue(run("generate-completion").output().contains("control-instance"));
    }

    @Test
    void commandThatRunsIsSetUpAlone() {
        // The others cost a process that starts again within seconds more than all its own work.
        assertFalse(run("entry", "--help").output().contains("measure"));
        assertEquals(ExitCodes.USAGE, run("entrance").code());
    }

    @ParameterizedTest
    @ValueSource(strings = {"OWN", "PLATFORM"})
    @Timeout(120)
    void smallDeploymentRehearses(String interfaces) {
        Ran ran = interfaces.equals("OWN")
                ? run("rehearse")
                : run(
                        "rehearse",
                        "--interfaces",
                        interfaces,
                        "--calls",
                        Path.of("deploy", "rehearsal.toml").toString());
        assertEquals(ExitCodes.DONE, ran.code(), ran.output());
    }

    private static Ran run(String... arguments) {
        PrintStream out = System.out;
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        System.setOut(new PrintStream(output, true, StandardCharsets.UTF_8));
        try {
            int code = Main.run(arguments);
            return new Ran(code, output.toString(StandardCharsets.UTF_8));
        } finally {
            System.setOut(out);
        }
    }
}
