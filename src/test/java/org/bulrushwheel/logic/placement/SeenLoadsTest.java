package org.bulrushwheel.logic.placement;

import java.util.List;

import org.bulrushwheel.model.proto.SeenLoad;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class SeenLoadsTest {
    private final SeenLoads loads = new SeenLoads();

    @Test
    void loadOfAnEndpointThatIsNotFullIsNotSent() {
        assertFalse(loads.onLoadReport("e", 3, 4, 0));
        assertTrue(loads.take(0).isEmpty());
    }

    @Test
    void loadIsSentWhenAnEndpointIsFullAndOnceWhenItIsNoLongerFull() {
        assertTrue(loads.onLoadReport("e", 4, 4, 0));
        assertEquals(4, loads.take(0).get(0).getRequests());
        assertTrue(loads.onLoadReport("e", 2, 4, 10));
        assertEquals(2, loads.take(10).get(0).getRequests());
        assertFalse(loads.onLoadReport("e", 1, 4, 20));
    }

    @Test
    void latestLoadOfAnEndpointIsSentWithItsAge() {
        loads.onLoadReport("e", 9, 4, 100);
        loads.onPeerLoad(
                SeenLoad.newBuilder()
                        .setEndpoint("e")
                        .setRequests(5)
                        .setAgeMillis(300)
                        .build(),
                200);
        List<SeenLoad> sent = loads.take(250);
        assertEquals(1, sent.size());
        assertEquals(9, sent.get(0).getRequests());
        assertEquals(150, sent.get(0).getAgeMillis());
    }

    @Test
    void endpointsWithTheMostRequestsAreSentWhenThereAreTooMany() {
        for (int endpoint = 0; endpoint < 1_000; endpoint++) {
            loads.onLoadReport("e" + endpoint, 4 + endpoint, 4, 0);
        }
        List<SeenLoad> sent = loads.take(0);
        assertEquals(100, sent.size());
        assertEquals(4 + 999, sent.get(0).getRequests());
    }
}
