package org.bulrushwheel.logic.upstream;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import org.bulrushwheel.model.upstream.Upstream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

class UpstreamDirectoryTest {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void mergeIsCommutativeAndIdempotent(long seed) {
        Random random = new Random(seed);
        List<Upstream> announcements = new ArrayList<>();
        for (int index = 0; index < 30; index++) {
            announcements.add(upstream("e" + random.nextInt(5), random.nextInt(100), 1_000, random.nextInt(4) == 0));
        }
        List<Upstream> shuffled = new ArrayList<>(announcements);
        shuffled.addAll(announcements.subList(0, 10));
        Collections.shuffle(shuffled, random);
        UpstreamDirectory directory = UpstreamDirectory.EMPTY;
        for (Upstream upstream : shuffled) {
            directory = directory.merge(List.of(upstream));
        }
        assertEquals(UpstreamDirectory.EMPTY.merge(announcements).digest(), directory.digest());
    }

    @Test
    void olderAnnouncementDoesNotReviveALeavingEndpoint() {
        UpstreamDirectory directory = UpstreamDirectory.EMPTY
                .merge(List.of(upstream("e1", 2, 9_000, true)))
                .merge(List.of(upstream("e1", 1, 9_000, false)));
        assertEquals(List.of(), directory.available("s", "z", 0));
    }

    @Test
    void expiredEndpointIsNotAvailable() {
        UpstreamDirectory directory = UpstreamDirectory.EMPTY.merge(List.of(
                upstream("e1", 1, 1_000, false), upstream("e2", 1, 9_000, false), upstream("e3", 1, 9_000, false)));
        assertEquals(2, directory.available("s", "z", 2_000).size());
    }

    @Test
    void knownEndpointsStayAvailableWhenMostExpireTogether() {
        UpstreamDirectory directory = UpstreamDirectory.EMPTY.merge(List.of(
                upstream("e1", 1, 1_000, false),
                upstream("e2", 1, 1_000, false),
                upstream("e3", 1, 9_000, false),
                upstream("e4", 1, 9_000, true)));
        assertEquals(3, directory.available("s", "z", 2_000).size());
    }

    private static Upstream upstream(String endpoint, long sequence, long expires, boolean leaving) {
        return new Upstream("s", endpoint, "z", "127.0.0.1:1", 1, sequence, expires, leaving, 0, 0);
    }
}
