package org.bulrushwheel.logic.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.bulrushwheel.model.proto.EntryRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class EntryAssignmentTest {
    private static List<EntryRecord> entries(int... countsByZone) {
        List<EntryRecord> entries = new ArrayList<>();
        for (int zone = 0; zone < countsByZone.length; zone++) {
            for (int index = 0; index < countsByZone[zone]; index++) {
                entries.add(EntryRecord.newBuilder()
                        .setPeerAddress("10." + zone + ".0." + index + ":7000")
                        .setZone("z" + zone)
                        .setRegion("r")
                        .build());
            }
        }
        return entries;
    }

    private static Map<String, Set<String>> addresses(List<EntryRecord> entries) {
        return EntryAssignment.byZone(entries).entrySet().stream()
                .collect(Collectors.toMap(Map.Entry::getKey, zone -> zone.getValue().stream()
                        .map(EntryRecord::getPeerAddress)
                        .collect(Collectors.toSet())));
    }

    /** Callers of all zones send the same, but their zones have 12, 10 and 8 narrow instances. */
    @ParameterizedTest
    @CsvSource({
        "12, 10, 8, 10, 10, 10",
        "12, 9, 8, 10, 10, 9",
        "4, 4, 4, 4, 4, 4",
        "5, 4, 4, 5, 4, 4",
        "30, 2, 1, 11, 11, 11",
        "4, 3, 3, 4, 3, 3",
        "2, 1, 1, 2, 1, 1"
    })
    void callersOfEachZoneHaveAboutAsManyInstances(int a, int b, int c, int forA, int forB, int forC) {
        Map<String, Set<String>> assigned = addresses(entries(a, b, c));
        assertEquals(
                List.of(forA, forB, forC),
                List.of(
                        assigned.get("z0").size(),
                        assigned.get("z1").size(),
                        assigned.get("z2").size()));
        Set<String> all = new HashSet<>();
        assigned.values().forEach(all::addAll);
        assertEquals(a + b + c, all.size(), "an instance serves two zones, or none");
    }

    @Test
    void zoneKeepsItsOwnInstancesWhenItNeedsThem() {
        Map<String, Set<String>> assigned = addresses(entries(12, 10, 8));
        assertEquals(
                8,
                assigned.get("z2").stream()
                        .filter(address -> address.startsWith("10.2."))
                        .count());
        assertTrue(assigned.get("z1").stream().allMatch(address -> address.startsWith("10.1.")));
    }

    @Test
    void lossOfOneInstanceMovesFewOthers() {
        List<EntryRecord> all = entries(12, 10, 8);
        Map<String, Set<String>> before = addresses(all);
        for (EntryRecord lost : all) {
            List<EntryRecord> rest = new ArrayList<>(all);
            rest.remove(lost);
            long moved = addresses(rest).entrySet().stream()
                    .flatMap(zone -> zone.getValue().stream()
                            .filter(address -> !before.get(zone.getKey()).contains(address)))
                    .count();
            assertTrue(moved <= 2, moved + " moved when " + lost.getPeerAddress() + " was lost");
        }
    }
}
