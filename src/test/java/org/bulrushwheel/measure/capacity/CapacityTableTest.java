package org.bulrushwheel.measure.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

class CapacityTableTest {
    @Test
    void capacityPageContainsThePrintedTable() throws IOException {
        String page = Files.readString(Path.of("docs/CAPACITY.md"));
        assertTrue(
                page.contains(new CapacityTable(Slopes.shipped()).markdown()),
                "docs/CAPACITY.md differs from the computed table; replace it with the output of: measure capacity");
    }

    @Test
    void capacityPageListsEverySlopeWithItsSource() throws IOException {
        String page = Files.readString(Path.of("docs/CAPACITY.md"));
        for (Slopes.Slope slope : Slopes.shipped().slopes()) {
            assertTrue(page.contains(slope.name()) && page.contains(slope.source()), slope.name());
        }
    }
}
