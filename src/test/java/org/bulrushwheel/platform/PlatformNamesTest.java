package org.bulrushwheel.platform;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

class PlatformNamesTest {
    @ParameterizedTest
    @ValueSource(
            strings = {
                "X-Request-Id",
                "X-Deadline-Ms",
                "X-Affinity-Key",
                "X-Expected-Instance",
                "X-Not-Executed",
                "X-Server-Load",
                "X-Server-Signature",
                "/api/",
                "heartbeatUrl",
                "coldRemainingS",
                "trafficSplit",
                "sessionAffinity"
            })
    void platformNameAppearsOnlyInPlatformFolder(String name) throws IOException {
        try (Stream<Path> files = Files.walk(Path.of("src/main"))) {
            List<Path> leaks = files.filter(file -> file.toString().endsWith(".java"))
                    .filter(file -> fileContains(file, name))
                    .toList();
            assertEquals(List.of(), leaks);
        }
    }

    private static boolean fileContains(Path file, String name) {
        try {
            return Files.readString(file).contains(name);
        } catch (IOException e) {
            throw new IllegalStateException("cannot read " + file, e);
        }
    }
}
