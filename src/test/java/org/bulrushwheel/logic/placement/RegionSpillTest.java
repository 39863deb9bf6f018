package org.bulrushwheel.logic.placement;

import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RegionSpillTest {
    private static final int OBJECTS = 10_000;

    private final RegionSpill spill = new RegionSpill();
    private long nowMillis;

    private void step(int times, double a, double b) {
        for (int step = 0; step < times; step++) {
            spill.step(Map.of("a", a, "b", b), nowMillis);
            nowMillis += RegionSpill.STEP_MILLIS;
        }
    }

    private double spilledFraction() {
        int spilled = 0;
        for (int object = 0; object < OBJECTS; object++) {
            spilled += spill.spills("o" + object, "a") ? 1 : 0;
        }
        return spilled / (double) OBJECTS;
    }

    @ParameterizedTest
    @CsvSource({"0.5, 0.5", "0.9, 0.2", "1.5, 1.4", "2, 2"})
    void nothingSpillsUnlessARegionIsFullAndAnotherHasCapacity(double own, double other) {
        step(20, own, other);
        assertEquals(0, spilledFraction());
    }

    @Test
    void spillGrowsInStepsWhileARegionIsFullAndShrinksAfterwards() {
        step(10, 1.5, 0.5);
        assertEquals(10 * RegionSpill.STEP, spilledFraction(), 0.02);
        step(1_000, 1.5, 0.5);
        assertEquals(0.5, spilledFraction(), 0.02);
        step(10, 0.5, 0.5);
        assertEquals(0.5 - 10 * RegionSpill.STEP, spilledFraction(), 0.02);
        step(100, 0.5, 0.5);
        assertEquals(0, spilledFraction());
    }

    @Test
    void atMostHalfOfTheAllowedRegionChangesHappenInTwoSeconds() {
        step(8, 2, 0.5);
        double before = spilledFraction();
        step((int) (2_000 / RegionSpill.STEP_MILLIS), 2, 0.5);
        assertTrue(spilledFraction() - before <= 0.15 / 2 + 0.02, spilledFraction() + " after " + before);
    }

    @Test
    void growingSpillKeepsTheObjectsThatSpilledBefore() {
        step(5, 1.5, 0.5);
        boolean[] early = new boolean[OBJECTS];
        for (int object = 0; object < OBJECTS; object++) {
            early[object] = spill.spills("o" + object, "a");
        }
        step(5, 1.5, 0.5);
        for (int object = 0; object < OBJECTS; object++) {
            assertTrue(!early[object] || spill.spills("o" + object, "a"));
        }
    }

    @Test
    void nextStepIsDueAfterTheStepInterval() {
        assertTrue(spill.isDue(0));
        spill.step(Map.of("a", 2.0, "b", 0.5), 0);
        assertFalse(spill.isDue(RegionSpill.STEP_MILLIS - 1));
        assertTrue(spill.isDue(RegionSpill.STEP_MILLIS));
    }

    @Test
    void regionThatWasGoneStartsWithoutSpill() {
        step(10, 1.5, 0.5);
        spill.step(Map.of("b", 0.5), nowMillis);
        assertEquals(0, spilledFraction());
    }
}
