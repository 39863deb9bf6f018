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

/** The platform may change the file without a signal. */
@Timeout(60)
class SettingsWatchTest {
    private static final String SETTINGS =
            """
            instance = "entry-1"
            zone = "a1"
            region = "a"
            peerAddress = "127.0.0.1:7000"
            callerAddress = "127.0.0.1:7001"
            readinessAddress = "127.0.0.1:7002"
            seeds = ["%s:7003"]
            firstStart = false
            zones = [{ zone = "a1", region = "a" }]

            [bounds]
            stopGraceSeconds = 1
            retryWindowSeconds = 10
            retryRatio = 0.2
            retrySlack = 100
            coldLoadFactor = 1.5
            coldSlackRequests = 5
            announcementSeconds = 1.5
            lookupValidSeconds = 1.5
            """;

    @TempDir
    private Path folder;

    private final BlockingQueue<Decision> decisions = new LinkedBlockingQueue<>();
    private Path file;
    private SettingsWatch watch;

    @BeforeEach
    void start() throws IOException {
        file = folder.resolve("settings.toml");
        String document = SETTINGS.formatted("127.0.0.9");
        Files.writeString(file, document);
        watch = new SettingsWatch(
                file, document, SettingsReader.readFleet(document).get());
        watch.tellDecisions(decisions::add);
        watch.start();
    }

    @AfterEach
    void stop() {
        watch.stop();
    }

    private Decision replaceFile(String document) throws IOException, InterruptedException {
        Path next = folder.resolve("next.toml");
        Files.writeString(next, document);
        Files.move(next, file, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
        return decisions.poll(30, TimeUnit.SECONDS);
    }

    @Test
    void changedSeedsAreTakenWithoutASignal() throws IOException, InterruptedException {
        assertEquals(
                DecisionKind.SETTINGS_READ,
                replaceFile(SETTINGS.formatted("127.0.0.8")).kind());
        assertEquals(List.of("127.0.0.8:7000"), watch.current().seedPeers());
    }

    @Test
    void fileThatCannotBeReadChangesNothingAndIsTold() throws IOException, InterruptedException {
        assertTrue(replaceFile("seeds = [").failure());
        assertEquals(List.of("127.0.0.9:7000"), watch.current().seedPeers());
        replaceFile(SETTINGS.formatted("127.0.0.7"));
        assertEquals(List.of("127.0.0.7:7000"), watch.current().seedPeers());
    }
}
