package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * LOST: a heartbeat of another writer, with a field missing and an address that nobody can have, arrives while clients
 * send safe requests one behind the other on kept connections.
 */
final class StrayBeatCase extends Case {
    private static final int CLIENTS = 8;
    private static final int IN_FLIGHT = 3;

    private final Set<String> runs = ConcurrentHashMap.newKeySet();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();
    private final AtomicInteger unsafeUnanswered = new AtomicInteger();
    private volatile boolean ended;

    public static void main(String[] args) throws Exception {
        main(new StrayBeatCase(), args);
    }

    @Override
    boolean run(Record record) throws Exception {
        Map<String, String> zones = new LinkedHashMap<>();
        zones.put("east-a", "east");
        zones.put("east-b", "east");
        zones.put("west-a", "west");
        try (Rig rig = new Rig(record, zones, 3, List.of("east-a", "east-b"))) {
            rig.start(configuration(
                    1,
                    route("read", "/read/", "safe", 4, 2, false) + "," + route("file", "/file/", "unsafe", 4, 2, false)));
            for (int index = 0; index < 6; index++) {
                rig.endpoint(
                                "desk",
                                index % 2 == 0 ? "east-a" : "east-b",
                                8,
                                (endpoint, request) -> runs.add(request.header("x-request-id")))
                        .start(0);
            }
            Thread.sleep(3_000);
            List<Thread> clients = new ArrayList<>();
            for (int client = 0; client < CLIENTS; client++) {
                int number = client;
                clients.add(rig.thread("client " + client, () -> read(record, rig.entries.get(number % 2), number)));
            }
            clients.add(rig.thread("filer", () -> file(record, rig.entries.get(0))));
            Thread.sleep(5_000);
            record.tell(answered.get() + " answered, " + cut.get() + " cut before the stray heartbeat");
            cut.set(0);
            unsafeUnanswered.set(0);
            if (trouble) {
                strayBeat(rig);
            }
            Thread.sleep(8_000);
            ended = true;
            for (Thread client : clients) {
                client.join(5_000);
            }
            record.tell(answered.get() + " answered; " + cut.get()
                    + " times a connection was closed on a request that a sound endpoint was running; "
                    + unsafeUnanswered.get() + " unsafe requests ended without an answer");
            return cut.get() <= 3;
        }
    }

    /** The field "version" is missing, and the port of the address is none. */
    private void strayBeat(Rig rig) throws IOException {
        String body = "{\"service\":\"desk\",\"address\":\"127.0.0.1:80800\",\"zone\":\"east-a\",\"slots\":8,"
                + "\"state\":\"ready\",\"coldRemainingS\":0,\"sequence\":1,\"born\":" + System.currentTimeMillis() + "}";
        String target = rig.controlAddresses().get(0);
        int status = Http.call(
                        target,
                        "POST",
                        "/api/Instances.Heartbeat/i-stray",
                        Map.of("Host", target, "Content-Type", "application/json"),
                        body.getBytes(StandardCharsets.UTF_8),
                        1_000)
                .status();
        rig.record.tell("stray heartbeat " + body + " gets " + status);
    }

    /** Keeps some safe requests on the way on one connection. */
    private void read(Record record, Rig.Node entry, int client) {
        for (int number = 0; !ended; ) {
            List<String> waiting = new ArrayList<>();
            try (Http.Connection connection = new Http.Connection(entry.address("caller"), 5_000)) {
                while (!ended || !waiting.isEmpty()) {
                    while (!ended && waiting.size() < IN_FLIGHT) {
                        String id = "r" + client + "-" + number++;
                        waiting.add(id);
                        record.line(id + " sent to " + entry.name);
                        connection.send("GET", "/read/w400/" + number % 24, headers(id), new byte[0]);
                        Thread.sleep(400 / IN_FLIGHT);
                    }
                    Http.Message answer = connection.receive();
                    record.line(waiting.remove(0) + " gets " + answer.status());
                    answered.incrementAndGet();
                    if (answer.header("connection").equalsIgnoreCase("close")) {
                        break;
                    }
                }
            } catch (IOException e) {
                boolean passedOn = waiting.stream().anyMatch(runs::contains);
                record.line(waiting + " end without an answer; one was passed on: " + passedOn + " (" + e.getMessage()
                        + ")");
                if (passedOn) {
                    cut.incrementAndGet();
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Sends unsafe requests, each on its own connection. */
    private void file(Record record, Rig.Node entry) {
        for (int number = 0; !ended; number++) {
            String id = "f-" + number;
            try {
                Http.Message answer = Http.call(
                        entry.address("caller"),
                        "POST",
                        "/file/w50/" + number,
                        headers(id),
                        ("order " + number).getBytes(StandardCharsets.UTF_8),
                        5_000);
                record.line(id + " gets " + answer.status());
            } catch (IOException e) {
                record.line(id + " (unsafe) ends without an answer: " + e.getMessage());
                unsafeUnanswered.incrementAndGet();
            }
        }
    }

    private static Map<String, String> headers(String id) {
        return Map.of("Host", "desk.example", "X-Request-Id", id, "X-Deadline-Ms", "4000");
    }
}
