package org.bulrushwheel.logic.fleet;

import java.util.List;

import org.bulrushwheel.model.proto.ReplicaPlace;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class SourceChoiceTest {
    private static ReplicaPlace place(String peer, String zone, String region) {
        return ReplicaPlace.newBuilder()
                .setPeerAddress(peer)
                .setZone(zone)
                .setRegion(region)
                .build();
    }

    @Test
    void controlInstancesAreOrderedByDistance() {
        List<ReplicaPlace> replicas = List.of(
                place("silent", "", ""), place("far", "c1", "c"), place("near", "a2", "a"), place("here", "a1", "a"));
        assertEquals(
                List.of("here", "near", "far", "seed", "silent"),
                SourceChoice.order("a1", "a", replicas, List.of("seed", "far")));
    }

    @Test
    void onlyALiveControlInstanceInTheOwnZoneIsNearer() {
        List<ReplicaPlace> all = List.of(place("here", "a1", "a"), place("near", "a2", "a"));
        assertTrue(SourceChoice.isNearerThere("near", "a1", all));
        assertFalse(SourceChoice.isNearerThere("here", "a1", all));
        assertFalse(SourceChoice.isNearerThere("near", "a1", List.of(place("here", "", ""), place("near", "a2", "a"))));
    }
}
