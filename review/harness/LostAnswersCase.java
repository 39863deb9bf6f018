package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * CONFIG: a route is added, whose requests are all for one page. Two answers are lost with a reset. In the steady state
 * after it, the page is asked for at every entry instance.
 */
final class LostAnswersCase extends Case {
    private static final String PAGE = "/page/w50/opening-hours";

    private final Map<Endpoint, Integer> runs = new ConcurrentHashMap<>();

    public static void main(String[] args) throws Exception {
        main(new LostAnswersCase(), args);
    }

    @Override
    boolean run(Record record) throws Exception {
        Map<String, String> zones = new LinkedHashMap<>();
        zones.put("east-a", "east");
        zones.put("east-b", "east");
        zones.put("west-a", "west");
        try (Rig rig = new Rig(record, zones, 3, List.of("east-a", "east-b", "west-a"))) {
            String first = route("read", "/read/", "safe", 1.2, 2, false);
            rig.start(configuration(1, first));
            List<Endpoint> endpoints = new ArrayList<>();
            for (int index = 0; index < 6; index++) {
                Endpoint endpoint = rig.endpoint(
                        "desk", List.copyOf(zones.keySet()).get(index % 3), 4, (at, request) -> runs.merge(at, 1, Integer::sum));
                endpoint.start(0);
                endpoints.add(endpoint);
            }
            Thread.sleep(2_000);
            String both = first + "," + route("page", "/page/", "safe", 1.2, 2, false);
            if (rig.order("POST", "/api/Config.Replace", configuration(2, both), 4, rig.controlAddresses()) != 200) {
                throw new CannotRun("the second configuration was not accepted");
            }
            Thread.sleep((long) (Rig.CONFIG_APPLY_S * 1_000) + 500);
            share(record, rig, "before", 10);
            if (trouble) {
                lose(record, rig, endpoints);
            }
            Thread.sleep(5_000);
            double[] shares = share(record, rig, "after", 40);
            return shares[1] >= shares[0] / 4;
        }
    }

    /** One request for the page and its repeat lose their answers; other requests are answered meanwhile. */
    private void lose(Record record, Rig rig, List<Endpoint> endpoints) {
        runs.clear();
        double start = record.now();
        for (Endpoint endpoint : endpoints) {
            endpoint.lostPath = PAGE;
            endpoint.answersToLose.set(1);
        }
        send(record, rig.entries.get(0), PAGE, "lost-1");
        List<Endpoint> losers = endpoints.stream()
                .filter(endpoint -> endpoint.answersToLose.getAndSet(0) < 1)
                .toList();
        for (int number = 0; number < 40; number++) {
            send(record, rig.entries.get(number % 3), "/read/w50/" + number, "during-" + number);
        }
        int runsAtLosers = losers.stream().mapToInt(endpoint -> runs.getOrDefault(endpoint, 0)).sum();
        record.tell(String.format(
                "in %.1f s, %d of %d endpoints lost the answers of %d of the %d requests that they ran",
                record.now() - start, losers.size(), endpoints.size(), losers.size(), runsAtLosers));
        if (losers.size() > 0.6 * endpoints.size() || losers.size() > 0.4 * runsAtLosers) {
            throw new CannotRun("more answers were lost than the pages allow");
        }
    }

    /** Shares of the requests on the first and on the added route that are served. */
    private double[] share(Record record, Rig rig, String label, int count) throws InterruptedException {
        int[] served = new int[2];
        for (int number = 0; number < count; number++) {
            Rig.Node entry = rig.entries.get(number % rig.entries.size());
            served[0] += send(record, entry, "/read/w50/" + number, label + "-read-" + number) == 200 ? 1 : 0;
            served[1] += send(record, entry, PAGE, label + "-page-" + number) == 200 ? 1 : 0;
            Thread.sleep(100);
        }
        record.tell(label + ": of " + count + " each, served " + served[0] + " on the first route, " + served[1]
                + " on the added one");
        return new double[] {served[0] / (double) count, served[1] / (double) count};
    }

    private static int send(Record record, Rig.Node entry, String path, String id) {
        try {
            Http.Message answer = Http.call(
                    entry.address("caller"),
                    "GET",
                    path,
                    Map.of("Host", "desk.example", "X-Request-Id", id, "X-Deadline-Ms", "4000"),
                    new byte[0],
                    4_000);
            record.line(id + " at " + entry.name + " gets " + answer.status());
            return answer.status();
        } catch (IOException e) {
            record.line(id + " at " + entry.name + " gets no answer: " + e.getMessage());
            return 0;
        }
    }
}
