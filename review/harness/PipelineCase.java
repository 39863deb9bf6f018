package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * LOST: clients with safe requests one behind the other on their connections, and an entry instance that gets SIGTERM.
 * The clients keep an answer of the directory for three times its ttlS, as the pages say that some do.
 */
final class PipelineCase extends Case {
    private static final int CLIENTS = 12;
    private static final int WORK_MILLIS = 2_400;
    private static final int SEND_EVERY_MILLIS = 800;
    // Three times the ttlS of the answers.
    private static final double KEPT_TTL_S = 3 * 1.5;

    private record Sent(String id, double at) {}

    private final Set<String> runs = ConcurrentHashMap.newKeySet();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private volatile double termAt = Double.MAX_VALUE;
    private volatile boolean ended;

    public static void main(String[] args) throws Exception {
        main(new PipelineCase(), args);
    }

    @Override
    boolean run(Record record) throws Exception {
        Map<String, String> zones = new LinkedHashMap<>();
        zones.put("east-a", "east");
        zones.put("east-b", "east");
        zones.put("west-a", "west");
        try (Rig rig = new Rig(record, zones, 3, List.of("east-a", "east-a"))) {
            rig.start(configuration(1, route("read", "/read/", "safe", 4, 2, true)));
            for (int index = 0; index < 18; index++) {
                rig.endpoint("desk", "east-a", 4, (endpoint, request) -> runs.add(request.header("x-request-id")))
                        .start(0);
            }
            Thread.sleep(3_000);
            Rig.Node leaving = rig.entries.get(0);
            for (int client = 0; client < CLIENTS; client++) {
                int number = client;
                rig.thread("client " + client, () -> client(rig, leaving, number));
                // Their times of asking the directory are spread evenly.
                Thread.sleep(375);
            }
            Thread.sleep(8_000);
            record.tell(answered.get() + " answered, " + lost.get() + " lost before the signal");
            termAt = record.now();
            if (trouble) {
                leaving.signal("TERM");
                if (!leaving.awaitEnd((long) (Rig.GRACE_S * 1_000))) {
                    leaving.signal("KILL");
                }
                record.tell(String.format("entry-1 has ended %.1f s after the signal", record.now() - termAt));
            }
            Thread.sleep(8_000);
            ended = true;
            record.tell(answered.get() + " answered, " + lost.get() + " passed on to an endpoint and lost");
            return lost.get() == 0;
        }
    }

    /** Goes to the next entry instance when the connection has ended. */
    private void client(Rig rig, Rig.Node first, int client) {
        String address = first.address("caller");
        for (int connections = 0; !ended; connections++) {
            Deque<Sent> waiting = new ConcurrentLinkedDeque<>();
            AtomicBoolean over = new AtomicBoolean();
            try (Http.Connection connection = new Http.Connection(address, 8_000)) {
                String target = address;
                String prefix = "p" + client + "-" + connections + "-";
                Thread sender = rig.thread("sender", () -> send(rig, connection, target, prefix, waiting, over));
                receive(rig.record, connection, waiting, over);
                over.set(true);
                sender.join();
            } catch (IOException e) {
                over.set(true);
                waiting.forEach(sent -> judge(rig.record, sent, e));
            } catch (InterruptedException e) {
                return;
            }
            address = rig.entries.get(1).address("caller");
        }
    }

    /** Sends a request at even times until the directory, asked again when its answer has expired, omits the address. */
    private void send(
            Rig rig, Http.Connection connection, String address, String prefix, Deque<Sent> waiting, AtomicBoolean over) {
        try {
            double resolvedAt = rig.record.now();
            resolve(rig);
            for (int number = 0; !over.get(); number++) {
                if (rig.record.now() > resolvedAt + KEPT_TTL_S) {
                    resolvedAt = rig.record.now();
                    if (!resolve(rig).contains(address)) {
                        over.set(true);
                        return;
                    }
                }
                Sent sent = new Sent(prefix + number, rig.record.now());
                rig.record.line(sent.id() + " sent to " + address);
                waiting.add(sent);
                connection.send("GET", "/read/w" + WORK_MILLIS + "/" + number % 24, headers(sent.id()), new byte[0]);
                Thread.sleep(SEND_EVERY_MILLIS);
            }
        } catch (IOException e) {
            // The receiver sees the end of the connection too.
            rig.record.line(prefix + " cannot send: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void receive(Record record, Http.Connection connection, Deque<Sent> waiting, AtomicBoolean over)
            throws IOException, InterruptedException {
        while (true) {
            if (waiting.isEmpty()) {
                if (over.get()) {
                    return;
                }
                Thread.sleep(20);
                continue;
            }
            Http.Message answer = connection.receive();
            Sent done = waiting.poll();
            answered.incrementAndGet();
            record.line(done.id() + " gets " + answer.status() + " for " + answer.header("x-request-id")
                    + " connection: " + answer.header("connection"));
            if (answer.header("connection").equalsIgnoreCase("close")) {
                // What was sent behind it counts as not read.
                return;
            }
        }
    }

    private void judge(Record record, Sent sent, IOException error) {
        if (ended) {
            return;
        }
        boolean passedOn = runs.contains(sent.id());
        record.tell(String.format(
                "%s, sent %.1f s after the signal, ends without an answer; passed on: %s (%s)",
                sent.id(), sent.at() - termAt, passedOn, error.getMessage()));
        // A request sent up to 3 s after the signal is excused if its endpoint was at work near the end.
        if (passedOn && sent.at() > termAt + 3) {
            lost.incrementAndGet();
        }
    }

    private static Map<String, String> headers(String id) {
        return Map.of("Host", "desk.example", "X-Request-Id", id, "X-Affinity-Key", id, "X-Deadline-Ms", "20000");
    }

    private static List<String> resolve(Rig rig) throws IOException {
        String body = new String(
                Http.call(
                                rig.controls.get(0).address("lookup"),
                                "GET",
                                "/api/resolve?name=desk.example&region=east&zone=east-a",
                                Map.of("Host", "directory"),
                                new byte[0],
                                1_000)
                        .body,
                StandardCharsets.UTF_8);
        rig.record.line("directory answers " + body);
        return rig.entries.stream()
                .map(entry -> entry.address("caller"))
                .filter(known -> body.contains("\"" + known + "\""))
                .toList();
    }
}
