package org.bulrushwheel.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import org.bulrushwheel.kernel.DecisionLog;
import org.bulrushwheel.logic.time.SystemTimeSource;
import org.bulrushwheel.model.decision.Decision;
import org.bulrushwheel.model.decision.DecisionField;
import org.bulrushwheel.model.decision.DecisionKind;
import org.bulrushwheel.model.decision.LoggedDecision;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.slf4j.LoggerFactory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ExplainCommandTest {
    @TempDir
    private Path folder;

    @Test
    void accountJoinsWhatProcessesDecidedAboutARequestAndItsEndpoints() throws IOException {
        Path entry = write(
                "entry.log",
                line(1_000, "view-changed", "{\"instance\":\"entry-1\"},{\"viewRevision\":\"7\"}"),
                "  12.3 s entry-1  "
                        + line(
                                2_000,
                                "admitted",
                                "{\"instance\":\"entry-1\"},{\"request\":\"a1\"},{\"route\":\"file\"}"),
                line(2_001, "dispatched", "{\"instance\":\"entry-1\"},{\"request\":\"a1\"},{\"endpoint\":\"e0\"}"),
                line(2_001, "admitted", "{\"instance\":\"entry-1\"},{\"request\":\"b2\"}"),
                line(
                        2_300,
                        "failed",
                        "{\"instance\":\"entry-1\"},{\"request\":\"a1\"},{\"status\":\"502\"},{\"reason\":\"broken\"},"
                                + "{\"attempts\":\"e0=broken@300\"},{\"mayHaveRun\":\"true\"},{\"tookMillis\":\"300\"}"),
                "{\"cut off");
        Path control = write(
                "control.log",
                line(2_200, "endpoint-silent", "{\"instance\":\"control-1\"},{\"endpoints\":\"[e0, e9]\"}"),
                line(2_250, "endpoint-silent", "{\"instance\":\"control-1\"},{\"endpoints\":\"[e5]\"}"));
        String account = explain("a1", entry, control);
        assertTrue(account.startsWith("failed with status 502 because of broken after 300 ms"), account);
        assertTrue(account.contains("endpoint-silent") && account.contains("[e0, e9]"), account);
        assertTrue(account.contains("view-changed"), account);
        assertTrue(account.indexOf("endpoint=e0") < account.indexOf("attempts=e0=broken@300"), account);
        assertTrue(!account.contains("[e5]") && !account.contains("b2"), account);
    }

    @Test
    void requestThatNoLineIsAboutFails() throws IOException {
        Path file = write("entry.log", line(1, "admitted", "{\"request\":\"a1\"}"));
        assertEquals(ExitCodes.FAILED, Main.run("explain", "zz", file.toString()));
        assertEquals(
                ExitCodes.USAGE,
                Main.run("explain", "zz", folder.resolve("none").toString()));
    }

    @Test
    void whatIsWrittenIsWhatIsRead() {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        Logger logger = context.getLogger(DecisionLog.LOGGER_NAME);
        ListAppender<ILoggingEvent> written = new ListAppender<>();
        written.start();
        logger.addAppender(written);
        logger.setLevel(Level.INFO);
        try {
            new DecisionLog("entry-1", new SystemTimeSource())
                    .record(Decision.of(DecisionKind.REFUSED)
                            .with(DecisionField.REQUEST, "say \"a1\"")
                            .with(DecisionField.STATUS, 503)
                            .asFailure());
        } finally {
            logger.setLevel(null);
            logger.detachAppender(written);
        }
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithFormattedMessage(true);
        encoder.start();
        String line = new String(encoder.encode(written.list.get(0)), StandardCharsets.UTF_8);
        LoggedDecision read = DecisionReader.decision(line).orElseThrow();
        assertEquals("refused", read.kind());
        assertEquals("say \"a1\"", read.value(DecisionField.REQUEST));
        assertEquals("503", read.value(DecisionField.STATUS));
        assertEquals("entry-1", read.value(DecisionField.INSTANCE));
        assertEquals(Optional.empty(), DecisionReader.decision("2026 INFO no JSON"));
    }

    private static String line(long atMillis, String kind, String pairs) {
        return "{\"timestamp\":" + atMillis + ",\"level\":\"INFO\",\"loggerName\":\"decisions\",\"formattedMessage\":\""
                + kind + "\",\"kvpList\": [" + pairs + "]}";
    }

    private Path write(String name, String... lines) throws IOException {
        Path file = folder.resolve(name);
        Files.writeString(file, List.of(lines).stream().collect(Collectors.joining("\n")));
        return file;
    }

    private static String explain(String request, Path... files) {
        PrintStream out = System.out;
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        System.setOut(new PrintStream(output, true, StandardCharsets.UTF_8));
        try {
            String[] arguments = new String[files.length + 2];
            arguments[0] = "explain";
            arguments[1] = request;
            for (int index = 0; index < files.length; index++) {
                arguments[index + 2] = files[index].toString();
            }
            assertEquals(ExitCodes.DONE, Main.run(arguments));
            return output.toString(StandardCharsets.UTF_8);
        } finally {
            System.setOut(out);
        }
    }
}
