package org.bulrushwheel.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.bulrushwheel.logic.settings.SettingsReader;
import org.bulrushwheel.model.decision.Decision;
import org.bulrushwheel.model.decision.DecisionKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Changes are found by polling because the platform may replace the file without sending a signal. */
@Timeout(60)
class SettingsWatchTest {
    @TempDir
    private Path folder;

    private final BlockingQueue<Decision> decisions = new LinkedBlockingQueue<>();
    private Path file;
    private SettingsWatch watch;

    @BeforeEach
    void start() throws IOException {
        file = folder.resolve("settings.toml");
        String document = settings("127.0.0.9");
        Files.writeString(file, document);
        watch = new SettingsWatch(
                file, document, SettingsReader.readFleet(document).get());
        watch.setDecisionSink(decisions::add);
        watch.start();
    }

    @AfterEach
    void stop() {
        watch.stop();
    }

    private static String settings(String seedHost) {
        return EntrySettingsFile.document(7_000, 7_001, 7_002, seedHost, 7_003);
    }

    private Decision replaceFile(String document) throws IOException, InterruptedException {
        Path next = folder.resolve("next.toml");
        Files.writeString(next, document);
        Files.move(next, file, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
        return decisions.poll(30, TimeUnit.SECONDS);
    }

    @Test
    void changedSeedsAreAppliedWithoutASignal() throws IOException, InterruptedException {
        assertEquals(
                DecisionKind.SETTINGS_READ, replaceFile(settings("127.0.0.8")).kind());
        assertEquals(List.of("127.0.0.8:7000"), watch.current().seedPeers());
    }

    @Test
    void invalidFileLeavesTheSettingsInForceAndIsRecordedAsFailure() throws IOException, InterruptedException {
        assertTrue(replaceFile("seeds = [").failure());
        assertEquals(List.of("127.0.0.9:7000"), watch.current().seedPeers());
        replaceFile(settings("127.0.0.7"));
        assertEquals(List.of("127.0.0.7:7000"), watch.current().seedPeers());
    }
}
