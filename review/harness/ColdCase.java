package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * FAILBACK: an endpoint that has just started becomes cold again before its first cold time is over, and says so in its
 * heartbeats.
 */
final class ColdCase extends Case {
    private static final long COLD_MILLIS = 3_000;
    private static final int CLIENTS = 12;
    // More than a second for the news of a heartbeat to reach all entry instances.
    private static final double NEWS_S = 1;
    // The stand-in crashes at six times its coldPerS, as the pages say of a rate well above it.
    private static final int CRASH_PER_S = 19;

    private final ConcurrentLinkedQueue<Double> coldArrivals = new ConcurrentLinkedQueue<>();
    private volatile boolean crashed;

    public static void main(String[] args) throws Exception {
        main(new ColdCase(), args);
    }

    @Override
    boolean run(Record record) throws Exception {
        Map<String, String> zones = new LinkedHashMap<>();
        zones.put("east-a", "east");
        zones.put("east-b", "east");
        zones.put("west-a", "west");
        try (Rig rig = new Rig(record, zones, 3, List.of("east-a", "east-b"))) {
            rig.start(configuration(1, route("read", "/read/", "safe", 1.2, 2, true)));
            List<Endpoint> endpoints = new ArrayList<>();
            for (int index = 0; index < 4; index++) {
                Endpoint endpoint = rig.endpoint("desk", index % 2 == 0 ? "east-a" : "east-b", 4, (at, request) -> {
                    double now = record.now();
                    if (at.coldRemainingMillis() > 0) {
                        record.line("arrives at the cold " + at.id);
                        if (now > at.coldAcknowledgedAt + NEWS_S) {
                            coldArrivals.add(now);
                            crashIfTooMany(record, at, now);
                        }
                    }
                });
                endpoints.add(endpoint);
            }
            Endpoint late = endpoints.remove(3);
            for (Endpoint endpoint : endpoints) {
                endpoint.start(0);
            }
            Thread.sleep(3_000);
            for (int client = 0; client < CLIENTS; client++) {
                int number = client;
                rig.thread("client", () -> client(record, rig.entries.get(number % 2), number));
            }
            Thread.sleep(4_000);
            record.tell("an endpoint is added, cold for 3 s");
            double addedAt = record.now();
            late.start(COLD_MILLIS);
            Thread.sleep(2_600);
            if (trouble) {
                record.tell(String.format(
                        "after %.1f s it becomes cold again, for 3 s", record.now() - addedAt));
                late.becomeCold(COLD_MILLIS);
                late.coldAcknowledgedAt = Double.MAX_VALUE;
            }
            Thread.sleep(6_000);
            double bound = Rig.COLD_PER_S * Rig.COLD_LOAD_FACTOR + Rig.COLD_SLACK;
            int most = mostInOneSecond();
            record.tell(String.format(
                    "a heartbeat acknowledged %.1f s after its start said that it is cold",
                    late.coldAcknowledgedAt - addedAt));
            record.tell("later than " + NEWS_S + " s after it, the cold endpoint got " + most + " requests in one second; the bound is " + bound);
            return most <= bound;
        }
    }

    private synchronized void crashIfTooMany(Record record, Endpoint at, double now) {
        long inLastSecond = coldArrivals.stream().filter(time -> time > now - 1).count();
        if (!crashed && inLastSecond > CRASH_PER_S) {
            crashed = true;
            record.tell("the cold endpoint crashes, at " + inLastSecond + " requests in one second");
            at.crash();
        }
    }

    private int mostInOneSecond() {
        List<Double> times = coldArrivals.stream().sorted().toList();
        int most = 0;
        int first = 0;
        for (int last = 0; last < times.size(); last++) {
            while (times.get(last) - times.get(first) > 1) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    private static void client(Record record, Rig.Node entry, int client) {
        for (int number = 0; true; number++) {
            String id = "c" + client + "-" + number;
            try {
                Http.Message answer = Http.call(
                        entry.address("caller"),
                        "GET",
                        "/read/w100/" + (client * 7 + number) % 24,
                        Map.of(
                                "Host",
                                "desk.example",
                                "X-Request-Id",
                                id,
                                "X-Affinity-Key",
                                Integer.toString((client * 7 + number) % 24),
                                "X-Deadline-Ms",
                                "4000"),
                        new byte[0],
                        4_000);
                record.line(id + " gets " + answer.status());
                Thread.sleep(20);
            } catch (IOException e) {
                record.line(id + " gets no answer: " + e.getMessage());
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
