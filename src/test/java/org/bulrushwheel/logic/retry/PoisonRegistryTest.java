package org.bulrushwheel.logic.retry;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class PoisonRegistryTest {
    private final PoisonRegistry registry = new PoisonRegistry();

    @Test
    void requestIsPoisonAfterCrashesOfTwoEndpoints() {
        registry.onCrash("f", "e1", 0);
        registry.onCrash("f", "e1", 1);
        assertFalse(registry.isPoison("f", 2));
        registry.onCrash("f", "e2", 3);
        assertTrue(registry.isPoison("f", 4));
    }

    @Test
    void crashesReportedByOtherInstancesCount() {
        PoisonRegistry other = new PoisonRegistry();
        registry.onCrash("f", "e1", 0);
        registry.merge(other.onCrash("f", "e2", 0), 0);
        assertTrue(registry.isPoison("f", 1));
    }

    @Test
    void answeredRequestIsNotPoison() {
        registry.onCrash("f", "e1", 0);
        assertTrue(registry.onAnswer("f").isPresent());
        registry.onCrash("f", "e2", 1);
        registry.onCrash("f", "e3", 1);
        assertFalse(registry.isPoison("f", 2));
        assertEquals(java.util.Optional.empty(), registry.onAnswer("f"));
    }

    @Test
    void crashesLongAfterTheFirstDoNotCountWithIt() {
        registry.onCrash("f", "e1", 0);
        registry.onCrash("f", "e2", 10 * 60_000 + 1);
        assertFalse(registry.isPoison("f", 10 * 60_000 + 2));
        registry.onCrash("f", "e3", 10 * 60_000 + 3);
        assertTrue(registry.isPoison("f", 10 * 60_000 + 4));
    }
}
