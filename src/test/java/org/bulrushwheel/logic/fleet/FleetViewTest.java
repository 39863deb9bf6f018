package org.bulrushwheel.logic.fleet;

import java.util.Map;

import com.google.protobuf.ByteString;
import org.bulrushwheel.model.proto.EndpointRecord;
import org.bulrushwheel.model.proto.FleetUpdate;
import org.bulrushwheel.model.proto.TrafficDocument;
import org.bulrushwheel.model.proto.ZoneEvacuation;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

class FleetViewTest {
    private static final JsonTrafficCodec CODEC = new JsonTrafficCodec();
    private static final Map<String, String> REGIONS = Map.of("z", "r");

    private static FleetUpdate.Builder update(long from, long to) {
        return FleetUpdate.newBuilder().setFromRevision(from).setRevision(to).setEntryInstances(1);
    }

    private static FleetUpdate.Builder traffic(long from, long to, long version) {
        String document = "{\"version\": " + version + ", \"routes\": [], \"services\": [{\"name\": \"desk\", "
                + "\"healthPath\": \"/\", \"maxConnections\": 1, \"coldStartMillis\": 3000, "
                + "\"coldRequestsPerSecond\": 3}], \"limits\": null}";
        return update(from, to)
                .setHasTraffic(true)
                .setTraffic(TrafficDocument.newBuilder()
                        .setVersion(version)
                        .setDocument(ByteString.copyFromUtf8(document)));
    }

    private static EndpointRecord endpoint(String id) {
        return EndpointRecord.newBuilder()
                .setId(id)
                .setService("desk")
                .setAddress("10.0.0.1:80")
                .setZone("z")
                .setSlots(1)
                .build();
    }

    private static FleetView after(FleetView view, FleetUpdate.Builder update, long nowMillis) {
        return view.withUpdate(update.build(), CODEC, REGIONS, nowMillis);
    }

    @Test
    void updateWithoutAHigherRevisionIsIgnored() {
        FleetView view = after(FleetView.empty(), traffic(0, 5, 7), 0);
        assertSame(view, after(view, traffic(0, 4, 6), 0));
        assertSame(view, after(view, traffic(0, 5, 9), 0));
    }

    @Test
    void updateThatLeavesARevisionGapIsIgnored() {
        FleetView view = after(FleetView.empty(), traffic(0, 5, 7), 0);
        assertSame(view, after(view, update(6, 8).addEndpoints(endpoint("e")), 0));
    }

    @Test
    void fullUpdateRemovesUnlistedEndpoints() {
        FleetView view = after(FleetView.empty(), traffic(0, 5, 7).addEndpoints(endpoint("e")), 0);
        FleetView next = after(view, update(0, 6).addEndpoints(endpoint("f")), 0);
        assertEquals("f", next.usable("desk").get(0).id());
        assertEquals(1, next.usable("desk").size());
        assertEquals(7, next.trafficVersion());
    }

    @Test
    void endpointsAreColdAfterTheEvacuationOfTheirZoneEnds() {
        FleetView view = after(FleetView.empty(), traffic(0, 5, 7).addEndpoints(endpoint("e")), 0);
        FleetView evacuated = after(
                view,
                update(5, 6)
                        .addEvacuations(ZoneEvacuation.newBuilder().setZone("z").setActive(true)),
                100);
        assertTrue(evacuated.usable("desk").isEmpty());
        FleetView restored = after(
                evacuated,
                update(6, 7).addEvacuations(ZoneEvacuation.newBuilder().setZone("z")),
                1_000);
        assertTrue(restored.usable("desk").get(0).isCold(3_999));
        assertTrue(!restored.usable("desk").get(0).isCold(4_000));
    }

    private static FleetUpdate.Builder delta(long from, long to, long baseVersion, long version) {
        ByteString base = baseVersion == 0
                ? ByteString.EMPTY
                : traffic(0, 1, baseVersion).getTraffic().getDocument();
        ByteString document = traffic(0, 1, version).getTraffic().getDocument();
        return update(from, to)
                .setHasTraffic(true)
                .setTraffic(TrafficDocument.newBuilder()
                        .setVersion(version)
                        .setDelta(DocumentDeltas.between(baseVersion, base, document)));
    }

    @Test
    void differencesOfTheTrafficDocumentFollowOneAnother() {
        FleetView view = after(FleetView.empty(), delta(0, 5, 0, 7), 0);
        view = after(view, update(5, 6).addEndpoints(endpoint("e")), 0);
        view = after(view, delta(6, 8, 7, 9), 0);
        assertEquals(9, view.trafficVersion());
        assertEquals(8, view.revision());
    }

    /** The instance turned to a control instance that knows it with a newer document than it has. */
    @Test
    void differenceFromAnotherDocumentIsIgnoredAsAWhole() {
        FleetView view = after(FleetView.empty(), delta(0, 5, 0, 7), 0);
        assertSame(view, after(view, delta(5, 9, 8, 9).addEndpoints(endpoint("e")), 0));
        assertEquals(9, after(view, delta(5, 9, 0, 9), 0).trafficVersion());
    }
}
