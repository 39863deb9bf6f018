package org.bulrushwheel.logic.settings;

import java.util.List;

import io.vavr.control.Either;
import org.bulrushwheel.model.settings.FleetSettings;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class FleetSettingsTest {
    private static final String DOCUMENT =
            """
            instance = "entry-1"
            zone = "a1"
            region = "a"
            peerAddress = "127.0.0.1:7000"
            callerAddress = "127.0.0.1:7001"
            readinessAddress = "127.0.0.1:7002"
            seeds = ["127.0.0.1:7003"]
            firstStart = false
            %s
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

    @ParameterizedTest
    @CsvSource({
        "'', 0",
        "linkMegabitsPerSecond = 2, 250000",
        "linkMegabitsPerSecond = 1.4, 175000",
        "linkMegabitsPerSecond = 700.0, 87500000"
    })
    void capacityOfTheLinkIsReadWhereItIsKnown(String line, double bytesPerSecond) {
        Either<List<String>, FleetSettings> settings = SettingsReader.readFleet(DOCUMENT.formatted(line));
        assertTrue(settings.isRight(), () -> settings.getLeft().toString());
        assertEquals(bytesPerSecond, settings.get().linkBytesPerSecond(), 1);
    }

    @ParameterizedTest
    @ValueSource(strings = {"linkMegabitsPerSecond = \"fast\"", "linkMegabitsPerSecond = true"})
    void faultNamesTheSettingAndWhatIsExpected(String line) {
        String faults =
                SettingsReader.readFleet(DOCUMENT.formatted(line)).getLeft().toString();
        assertTrue(faults.contains("linkMegabitsPerSecond") && faults.contains("expected number"), faults);
    }
}
