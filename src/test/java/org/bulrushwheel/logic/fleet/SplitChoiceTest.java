package org.bulrushwheel.logic.fleet;

import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import org.bulrushwheel.model.traffic.RouteKind;
import org.bulrushwheel.model.traffic.TrafficRoute;
import org.bulrushwheel.model.traffic.WeightedService;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class SplitChoiceTest {
    // weight_off of the deployments, and 300 requests, from which on it is judged.
    private static final double MAX_SHARE_OFF = 0.1;
    private static final int REQUESTS = 300;

    private static TrafficRoute route(double first, double second) {
        return new TrafficRoute(
                "split",
                "host.example",
                "/",
                RouteKind.REPEATABLE,
                1_000,
                1_000,
                1,
                List.of(new WeightedService("a", first), new WeightedService("b", second)),
                2,
                false,
                Set.of());
    }

    // Guards against a part of a split that gets another share of the requests than its weight.
    @ParameterizedTest
    @CsvSource({"90, 10, 1", "50, 50, 2", "1, 3, 3", "0, 5, 4", "5, 0, 5", "0.2, 0.8, 6"})
    void eachPartGetsTheShareOfItsWeight(double first, double second, long seed) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        long chosen = random.longs(REQUESTS)
                .filter(id -> SplitChoice.of(route(first, second), Long.toHexString(id))
                        .equals("a"))
                .count();
        double share = (double) chosen / REQUESTS;
        double expected = first / (first + second);
        assertTrue(Math.abs(share - expected) <= MAX_SHARE_OFF, "share " + share + " for weight " + expected);
        assertTrue(expected > 0 || chosen == 0, "a part without weight got " + chosen + " requests");
    }

    // Guards against requests that move between parts although only one part has grown, or none has.
    @ParameterizedTest
    @CsvSource({"90, 10, 9, 1, 1", "50, 50, 60, 40, 2", "1, 3, 2, 3, 3", "10, 90, 10, 30, 4"})
    void requestLeavesAPartOnlyWhenItsShareShrinks(
            double first, double second, double newFirst, double newSecond, long seed) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        random.longs(REQUESTS)
                .mapToObj(Long::toHexString)
                .filter(id -> SplitChoice.of(route(first, second), id).equals("a"))
                .forEach(id -> assertEquals("a", SplitChoice.of(route(newFirst, newSecond), id)));
    }
}
