package org.bulrushwheel.logic.fleet;

import java.util.List;
import java.util.Set;

import org.bulrushwheel.model.traffic.CallerLimits;
import org.bulrushwheel.model.traffic.RouteKind;
import org.bulrushwheel.model.traffic.ServicePolicy;
import org.bulrushwheel.model.traffic.TrafficConfiguration;
import org.bulrushwheel.model.traffic.TrafficRoute;
import org.bulrushwheel.model.traffic.WeightedService;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class TrafficCheckerTest {
    private static TrafficRoute route(String name, String prefix, String service, double weight, long targetMillis) {
        return new TrafficRoute(
                name,
                "host.example",
                prefix,
                RouteKind.REPEATABLE,
                1_000,
                targetMillis,
                1,
                List.of(new WeightedService(service, weight)),
                2,
                true,
                Set.of());
    }

    private static TrafficConfiguration configuration(TrafficRoute... routes) {
        return new TrafficConfiguration(
                1, List.of(routes), List.of(new ServicePolicy("desk", "/health", 1, 1, 1)), CallerLimits.DEFAULT);
    }

    @ParameterizedTest
    @CsvSource({
        "/a/, desk, 1, 500, 0",
        "a/, desk, 1, 500, 1",
        "/a/, nowhere, 1, 500, 1",
        "/a/, desk, 0, 500, 1",
        "/a/, desk, -1, 500, 2",
        "/a/, desk, 1, 60999, 0",
        "/a/, desk, 1, 61000, 1"
    })
    void everyFaultIsFound(String prefix, String service, double weight, long targetMillis, int faults) {
        assertEquals(
                faults,
                TrafficChecker.check(configuration(route("r", prefix, service, weight, targetMillis)))
                        .size());
    }

    @Test
    void routesWithEqualHostAndPrefixAreAFault() {
        assertEquals(
                1,
                TrafficChecker.check(
                                configuration(route("r", "/a/", "desk", 1, 500), route("s", "/a/", "desk", 1, 500)))
                        .size());
    }

    @Test
    void longestMatchingPrefixOfTheHostWins() {
        RouteTable table = new RouteTable(
                configuration(route("short", "/a/", "desk", 1, 500), route("long", "/a/b/", "desk", 1, 500)));
        assertEquals(
                "long", table.find("HOST.example:80", "/a/b/c").orElseThrow().name());
        assertEquals("short", table.find("host.example", "/a/bc").orElseThrow().name());
        assertTrue(table.find("host.example", "/a").isEmpty());
        assertTrue(table.find("other.example", "/a/b").isEmpty());
    }
}
