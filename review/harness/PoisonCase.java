package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * BUDGET: a request that crashes each endpoint that runs it comes again at each entry instance, while the entry
 * instances are stopped and started in turn.
 */
final class PoisonCase extends Case {
    private static final int ENTRIES = 6;

    private final Map<String, Integer> arrivalsById = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<Double> crashes = new ConcurrentLinkedQueue<>();

    public static void main(String[] args) throws Exception {
        main(new PoisonCase(), args);
    }

    @Override
    boolean run(Record record) throws Exception {
        Map<String, String> zones = new LinkedHashMap<>();
        zones.put("east-a", "east");
        zones.put("east-b", "east");
        zones.put("west-a", "west");
        List<String> entryZones = new ArrayList<>();
        for (int index = 0; index < ENTRIES; index++) {
            entryZones.add(index % 2 == 0 ? "east-a" : "east-b");
        }
        try (Rig rig = new Rig(record, zones, 3, entryZones)) {
            rig.start(configuration(1, route("read", "/read/", "safe", 2, 2, true)));
            List<Endpoint> endpoints = new ArrayList<>();
            for (int index = 0; index < 6; index++) {
                Endpoint endpoint = rig.endpoint("desk", index % 2 == 0 ? "east-a" : "east-b", 4, (at, request) -> {
                    if (request.start.contains("poison")) {
                        arrivalsById.merge(request.header("x-request-id"), 1, Integer::sum);
                        crashes.add(record.now());
                    }
                });
                endpoint.start(0);
                endpoints.add(endpoint);
            }
            rig.thread("restarts", () -> restart(record, endpoints));
            Thread.sleep(3_000);
            int number = 0;
            // At every entry instance while all run: the first learns that the request is poison and tells the others.
            for (Rig.Node entry : rig.entries) {
                send(record, entry, number++);
                Thread.sleep(500);
            }
            Thread.sleep((long) (Rig.CONTACT_WINDOW_S * 1_000));
            int retries = 0;
            for (Rig.Node entry : rig.entries) {
                if (trouble) {
                    entry.signal("TERM");
                    if (!entry.awaitEnd((long) (Rig.GRACE_S * 1_000))) {
                        entry.signal("KILL");
                    }
                    entry.start();
                    rig.awaitReady(List.of(entry), 20);
                }
                // The restarted machine is in touch again after the contact window.
                Thread.sleep((long) (Rig.CONTACT_WINDOW_S * 1_000) + 700);
                boolean counts = crashes.size() >= 3
                        && record.now()
                                > crashes.stream().sorted().skip(2).findFirst().orElseThrow()
                                        + Rig.CONTACT_WINDOW_S;
                String id = send(record, entry, number++);
                Thread.sleep(300);
                int arrived = arrivalsById.getOrDefault(id, 0);
                record.tell(id + " at " + entry.name + " reached " + arrived + " endpoints; counts: " + counts);
                if (counts && arrived > 0) {
                    retries++;
                }
            }
            record.tell(crashes.size() + " crashes; " + retries
                    + " retries reached endpoints later than the contact window after the third crash");
            return retries <= 3;
        }
    }

    private static String send(Record record, Rig.Node entry, int number) {
        String id = "poison-" + number;
        try {
            Http.Message answer = Http.call(
                    entry.address("caller"),
                    "GET",
                    "/read/poison/7",
                    Map.of(
                            "Host",
                            "desk.example",
                            "X-Request-Id",
                            id,
                            "X-Affinity-Key",
                            "7",
                            "X-Deadline-Ms",
                            "4000"),
                    new byte[0],
                    4_000);
            record.tell(id + " at " + entry.name + " gets " + answer.status());
        } catch (IOException e) {
            record.tell(id + " at " + entry.name + " gets no answer: " + e.getMessage());
        }
        return id;
    }

    /** Starts crashed endpoints again after two seconds, each as a new instance. */
    private static void restart(Record record, List<Endpoint> endpoints) {
        try {
            while (true) {
                for (Endpoint endpoint : endpoints) {
                    if (endpoint.id.isEmpty()) {
                        Thread.sleep(2_000);
                        endpoint.start(3_000);
                        record.line("endpoint is back as " + endpoint.id);
                    }
                }
                Thread.sleep(100);
            }
        } catch (InterruptedException | IOException e) {
            record.line("restarts end: " + e);
        }
    }
}
