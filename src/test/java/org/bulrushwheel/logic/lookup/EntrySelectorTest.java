package org.bulrushwheel.logic.lookup;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.bulrushwheel.model.config.Configuration;
import org.bulrushwheel.model.config.Drain;
import org.bulrushwheel.model.config.DrainKind;
import org.bulrushwheel.model.instance.Instance;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class EntrySelectorTest {
    private static final List<Instance> INSTANCES = instances();

    @ParameterizedTest
    @CsvSource({"accra-a, accra", "accra-b, accra", "tamale-b, tamale"})
    void callersZoneComesFirstThenItsRegionThenOthers(String zone, String region) {
        List<Instance> answer = select(Configuration.EMPTY, zone, region, 7);

        assertEquals(zone, answer.get(0).zone());
        assertEquals(region, answer.get(1).region());
        assertFalse(answer.get(2).region().equals(region));
    }

    @Test
    void selectedInstancesAreInDifferentZones() {
        Set<String> zones = new HashSet<>();
        select(Configuration.EMPTY, "accra-a", "accra", 3).forEach(instance -> zones.add(instance.zone()));
        assertEquals(3, zones.size());
    }

    @Test
    void callersOfAZoneAreSpreadOverItsInstances() {
        Set<String> names = new HashSet<>();
        for (long seed = 0; seed < 64; seed++) {
            names.add(
                    select(Configuration.EMPTY, "accra-a", "accra", seed).get(0).name());
        }
        assertEquals(4, names.size());
    }

    @ParameterizedTest
    @EnumSource(
            value = DrainKind.class,
            names = {"REGION", "ZONE", "INSTANCE"})
    void drainedInstancesAreNotSelected(DrainKind kind) {
        String name = kind == DrainKind.REGION ? "accra" : kind == DrainKind.ZONE ? "accra-a" : "accra-a-1";
        Configuration drained = Configuration.EMPTY.withDrains(List.of(new Drain(kind, name)));
        for (long seed = 0; seed < 64; seed++) {
            assertTrue(select(drained, "accra-a", "accra", seed).stream()
                    .noneMatch(instance -> instance.name().startsWith(name)));
        }
    }

    @Test
    void callerInAZoneWithoutInstancesGetsTheNearestOthers() {
        EntrySelector selector = new EntrySelector(
                Configuration.EMPTY,
                INSTANCES.stream()
                        .filter(instance -> !instance.zone().equals("accra-a"))
                        .toList());
        assertEquals("accra-b", selector.select("accra-a", "accra", 1, 3).get(0).zone());
    }

    private static List<Instance> select(Configuration configuration, String zone, String region, long seed) {
        return new EntrySelector(configuration, INSTANCES).select(zone, region, seed, 3);
    }

    private static List<Instance> instances() {
        List<Instance> instances = new ArrayList<>();
        for (String region : List.of("accra", "kumasi", "tamale")) {
            for (String zone : List.of(region + "-a", region + "-b")) {
                for (int index = 1; index <= 4; index++) {
                    instances.add(new Instance(zone + "-" + index, zone, region, "10.0.0.1:80", "10.0.0.1:81", false));
                }
            }
        }
        return instances;
    }
}
