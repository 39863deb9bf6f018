package org.bulrushwheel.logic.retry;

import java.util.List;

import org.bulrushwheel.model.proto.PoisonRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

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

    /** Guards against a request that is refused for minutes because two answers to it were lost. */
    @ParameterizedTest
    @CsvSource({"e1, false", "e2, false", "e9, true"})
    void endpointThatRunsOnDoesNotCountAsCrashed(String survivor, boolean expected) {
        PoisonRegistry peer = new PoisonRegistry();
        registry.onCrash("f", "e1", 0);
        PoisonRecord crashed = registry.onCrash("f", "e2", 0);
        registry.onSurvived("f", survivor, 500).ifPresent(record -> peer.merge(record, 500));
        // A notice that was overtaken changes nothing.
        peer.merge(crashed, 501);
        assertEquals(expected, registry.isPoison("f", 501));
        assertEquals(expected, peer.isPoison("f", 501));
    }

    /** Guards against a suspicion that never ends because instances pass it on to each other. */
    @Test
    void suspectsArePassedOnUntilTheSuspicionEnds() {
        registry.onCrash("f", "e1", 0);
        registry.onCrash("f", "e2", 0);
        registry.onCrash("answered", "e1", 0);
        registry.onAnswer("answered", 0);
        PoisonRegistry late = new PoisonRegistry();
        registry.suspects(9 * 60_000).forEach(record -> late.merge(record, 9 * 60_000));
        assertTrue(late.isPoison("f", 9 * 60_000));
        assertEquals(1, late.suspects(9 * 60_000).size());
        assertFalse(late.isPoison("f", 10 * 60_000 + 1));
        assertEquals(List.of(), late.suspects(10 * 60_000 + 1));
    }

    @Test
    void newSuspectsReplaceTheOldestOfTooMany() {
        for (int number = 0; number < 10_001; number++) {
            registry.onCrash("f" + number, "e1", number);
            registry.onCrash("f" + number, "e2", number);
        }
        assertFalse(registry.isPoison("f0", 10_001));
        assertTrue(registry.isPoison("f1", 10_001));
        assertEquals(1_000, registry.suspects(10_001).size());
        assertEquals("f10000", registry.suspects(10_001).get(0).getFingerprint());
    }

    @Test
    void answeredRequestIsNotPoison() {
        registry.onCrash("f", "e1", 0);
        assertTrue(registry.onAnswer("f", 0).isPresent());
        registry.onCrash("f", "e2", 1);
        registry.onCrash("f", "e3", 1);
        assertFalse(registry.isPoison("f", 2));
        assertEquals(java.util.Optional.empty(), registry.onAnswer("f", 3));
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
