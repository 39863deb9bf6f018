package org.bulrushwheel.measure.steer;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Targets of the steering policy, on virtual time. */
class SteerMeasurementTest {
    private static final double MOST_OF_NAIVE_P99 = 0.5;
    private static final double LEAST_GOODPUT = 0.95;
    private static final long SEED = 1;

    @ParameterizedTest
    @ValueSource(strings = {"adwenpa", "foerderbruecke"})
    void p99AtEightyPercentIsAtMostHalfOfTheNaiveOne(String name) {
        SteerDeployment deployment = SteerDeployment.named(name);
        SteerResult naive = SteerMeasurement.naive(deployment, SEED, 0.8, SteerScenario.STEADY);
        SteerResult granted = SteerMeasurement.granted(deployment, SEED, 0.8, SteerScenario.STEADY);

        assertTrue(granted.p99Millis() <= MOST_OF_NAIVE_P99 * naive.p99Millis(), granted + " against " + naive);
        assertTrue(naive.sheds() > 0, "the naive policy must meet its failure");
    }

    @ParameterizedTest
    @CsvSource({
        "adwenpa, 0.95, STEADY",
        "adwenpa, 0.6, ZONE_LOST",
        "foerderbruecke, 0.95, STEADY",
        "foerderbruecke, 0.6, ZONE_LOST"
    })
    void noRegionIsEverOverloaded(String name, double load, SteerScenario scenario) {
        SteerResult result = SteerMeasurement.granted(SteerDeployment.named(name), SEED, load, scenario);

        assertEquals(0, result.overRegion());
    }

    @ParameterizedTest
    @ValueSource(strings = {"adwenpa", "foerderbruecke"})
    void overloadLeavesGoodputNearCapacity(String name) {
        SteerDeployment deployment = SteerDeployment.named(name);
        SteerResult result = SteerMeasurement.granted(deployment, SEED, 1.2, SteerScenario.STEADY);

        assertEquals(0, result.overRegion());
        assertTrue(result.answeredPerSecond() >= LEAST_GOODPUT * SteerRun.capacityPerSecond(deployment), "" + result);
    }

    @ParameterizedTest
    @ValueSource(strings = {"adwenpa", "foerderbruecke"})
    void leavingEndpointGetsNoNewWorkAfterThreeSeconds(String name) {
        SteerResult result =
                SteerMeasurement.granted(SteerDeployment.named(name), SEED, 0.95, SteerScenario.ENDPOINT_LEAVES);

        assertTrue(result.lastWorkMillis() <= 3_000, "" + result);
    }
}
