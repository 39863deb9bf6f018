package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * EVAC: the operator's order to end an evacuation reaches a frozen control instance, is sent again to another one and
 * acknowledged there. The zone is evacuated again, and the frozen instance wakes.
 */
final class EvacuationCase extends Case {
    private static final String ZONE = "east-b";

    private final AtomicInteger arrivals = new AtomicInteger();
    private volatile double countFrom = Double.MAX_VALUE;

    public static void main(String[] args) throws Exception {
        main(new EvacuationCase(), args);
    }

    @Override
    boolean run(Record record) throws Exception {
        Map<String, String> zones = new LinkedHashMap<>();
        zones.put("east-a", "east");
        zones.put(ZONE, "east");
        zones.put("west-a", "west");
        try (Rig rig = new Rig(record, zones, 3, List.of("east-a", ZONE))) {
            rig.start(configuration(1, route("read", "/read/", "safe", 1.2, 2, true)));
            for (String zone : List.of("east-a", "east-a", ZONE, ZONE)) {
                rig.endpoint("desk", zone, 4, (endpoint, request) -> {
                            if (endpoint.zone.equals(ZONE) && record.now() > countFrom) {
                                arrivals.incrementAndGet();
                                record.line("arrives in the evacuated zone: " + request.header("x-request-id"));
                            }
                        })
                        .start(0);
            }
            Thread.sleep(2_000);
            for (Rig.Node entry : rig.entries) {
                rig.thread("client", () -> client(record, entry));
            }
            Thread.sleep(2_000);
            Rig.Node frozen = rig.controls.stream()
                    .filter(node -> node.metric("bulrushwheel_control_leads") == 0)
                    .findFirst()
                    .orElseThrow(() -> new CannotRun("no follower"));
            List<String> others = new ArrayList<>(rig.controlAddresses());
            others.remove(frozen.address("control"));
            List<String> frozenFirst = new ArrayList<>(others);
            frozenFirst.add(0, frozen.address("control"));
            String start = "/api/Evacuation.Start/" + ZONE;
            accepted(rig.order("POST", start, "", 4, others));
            Thread.sleep(3_000);
            double frozenAt = record.now();
            if (trouble) {
                frozen.signal("STOP");
            }
            accepted(rig.order("POST", "/api/Evacuation.Finish/" + ZONE, "", 4, frozenFirst));
            Thread.sleep(1_500);
            accepted(rig.order("POST", start, "", 4, others));
            double evacuatedAt = record.now();
            Thread.sleep(1_000);
            if (trouble) {
                frozen.signal("CONT");
                record.tell(String.format("the freeze lasted %.1f s", record.now() - frozenAt));
            }
            // The bound counts from the acknowledgement; the machines are in touch again after the contact window.
            countFrom = Math.max(evacuatedAt + Rig.EVACUATION_S, record.now() + Rig.CONTACT_WINDOW_S) + 0.5;
            Thread.sleep(15_000);
            record.tell(arrivals.get() + " requests arrived in the evacuated zone after the bound");
            return arrivals.get() == 0;
        }
    }

    private static void accepted(int status) {
        if (status != 200) {
            throw new CannotRun("an order was answered " + status);
        }
    }

    private static void client(Record record, Rig.Node entry) {
        for (int number = 0; true; number++) {
            String id = entry.name + "-" + number;
            try {
                Http.Message answer = Http.call(
                        entry.address("caller"),
                        "GET",
                        "/read/w20/" + number % 24,
                        Map.of(
                                "Host",
                                "desk.example",
                                "X-Request-Id",
                                id,
                                "X-Affinity-Key",
                                Integer.toString(number % 24),
                                "X-Deadline-Ms",
                                "4000"),
                        new byte[0],
                        4_000);
                record.line("client gets " + answer.status() + " for " + id);
                Thread.sleep(50);
            } catch (java.io.IOException e) {
                record.line("client gets no answer for " + id + ": " + e.getMessage());
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
