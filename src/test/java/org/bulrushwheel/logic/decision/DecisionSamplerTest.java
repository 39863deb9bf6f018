package org.bulrushwheel.logic.decision;

import java.util.HashSet;
import java.util.Set;

import org.bulrushwheel.model.decision.Decision;
import org.bulrushwheel.model.decision.DecisionField;
import org.bulrushwheel.model.decision.DecisionKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class DecisionSamplerTest {
    private static final int SECONDS = 20;

    @ParameterizedTest
    @ValueSource(ints = {1, 20, 60})
    void everythingIsKeptAtNormalLoad(int linesPerSecond) {
        assertEquals(linesPerSecond, kept(new DecisionSampler(), linesPerSecond).size());
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 2_000, 20_000})
    void linesStayBoundedUnderLoad(int linesPerSecond) {
        int kept = kept(new DecisionSampler(), linesPerSecond).size();
        assertTrue(kept > 0 && kept <= 2 * 60, "kept " + kept);
    }

    @Test
    void busierProcessKeepsASubsetOfTheRequests() {
        Set<String> busy = kept(new DecisionSampler(), 4_000);
        Set<String> busier = kept(new DecisionSampler(), 16_000);
        Set<String> keptByBusierAndOfferedToBusy = new HashSet<>(busier);
        keptByBusierAndOfferedToBusy.removeIf(id -> Integer.parseInt(id.substring(1)) >= 4_000);
        assertFalse(keptByBusierAndOfferedToBusy.isEmpty());
        assertTrue(busy.containsAll(keptByBusierAndOfferedToBusy));
    }

    @Test
    void failuresAndDecisionsWithoutARequestAreAlwaysKept() {
        DecisionSampler sampler = new DecisionSampler();
        kept(sampler, 20_000);
        for (int index = 0; index < 1_000; index++) {
            assertTrue(sampler.keeps(decisionAbout("r" + index).asFailure(), SECONDS * 1_000));
            assertTrue(sampler.keeps(Decision.of(DecisionKind.VIEW_CHANGED), SECONDS * 1_000));
        }
    }

    @Test
    void everythingIsKeptAgainWhenTheLoadDrops() {
        DecisionSampler sampler = new DecisionSampler();
        kept(sampler, 20_000);
        sampler.keeps(decisionAbout("a"), SECONDS * 1_000);
        sampler.keeps(decisionAbout("b"), (SECONDS + 1) * 1_000);
        assertEquals(1, sampler.share());
    }

    /** Offers the same load every second; returns the requests that were kept in the last second. */
    private static Set<String> kept(DecisionSampler sampler, int linesPerSecond) {
        Set<String> kept = new HashSet<>();
        for (int second = 0; second < SECONDS; second++) {
            kept.clear();
            for (int line = 0; line < linesPerSecond; line++) {
                if (sampler.keeps(decisionAbout("r" + line), second * 1_000L)) {
                    kept.add("r" + line);
                }
            }
        }
        return kept;
    }

    private static Decision decisionAbout(String request) {
        return Decision.of(DecisionKind.ADMITTED).with(DecisionField.REQUEST, request);
    }
}
