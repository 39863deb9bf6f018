import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Clients have a download that a sound endpoint sends slowly, and two small safe requests behind it on the same connection.
 * Then the entry instance gets SIGTERM.
 */
public final class StopCase {
    private static final int CLIENTS = 4;
    private static final int BEHIND = 2;
    private static final int PARTS = 100;
    private static final int PART_BYTES = 3_000;
    private static final long PART_MILLIS = 100;
    // Pages: graceS 6; a request that was sent before the SIGTERM is to be answered.
    private static final long GRACE_MILLIS = 6_000;
    private static final long TERM_AFTER_MILLIS = 1_000;

    private final Recorder record;
    private final Fleet fleet;
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final Map<String, Double> workEnded = new ConcurrentHashMap<>();
    private final Map<String, Double> answered = new ConcurrentHashMap<>();
    private final Map<String, Double> cut = new ConcurrentHashMap<>();

    private StopCase(Fleet fleet, Recorder record) {
        this.fleet = fleet;
        this.record = record;
    }

    public static void main(String[] arguments) {
        Case.run(arguments[0], (fleet, record, trouble) -> new StopCase(fleet, record).play(trouble));
    }

    private int play(boolean trouble) throws Exception {
        List<Fleet.Machine> controls = new ArrayList<>();
        for (String zone : List.of("zurich-a", "geneva-a", "lugano-a")) {
            controls.add(fleet.add("control", zone));
        }
        List<Fleet.Machine> entries = List.of(fleet.add("entry", "zurich-a"), fleet.add("entry", "zurich-a"));
        for (Fleet.Machine machine : controls) {
            fleet.start(machine, controls, true);
        }
        for (Fleet.Machine machine : entries) {
            fleet.start(machine, controls, true);
        }
        Operator operator = new Operator(fleet, () -> controls, record);
        if (!operator.order("/api/Config.Replace", document(), "r1", 20_000)) {
            return Case.NOT_RUN;
        }
        List<Endpoint> endpoints = new ArrayList<>();
        for (int index = 0; index < 3; index++) {
            endpoints.add(endpoint("vault-" + index, "vault", controls, this::download));
            endpoints.add(endpoint("desk-" + index, "desk", controls, this::lookUp));
        }
        // Longer than contactWindowS after the start of the machines.
        Operator.pause(8_000);
        if (!endpoints.stream().allMatch(Endpoint::isAcknowledged)) {
            record.line("not all endpoints were acknowledged");
            return Case.NOT_RUN;
        }
        Fleet.Machine stopped = entries.get(0);
        List<Thread> clients = new ArrayList<>();
        for (int client = 0; client < CLIENTS; client++) {
            int number = client;
            Thread thread = new Thread(() -> client(number, stopped));
            clients.add(thread);
            thread.start();
        }
        Operator.pause(TERM_AFTER_MILLIS);
        double termAt = record.seconds();
        if (trouble) {
            fleet.signal(stopped, "TERM");
        }
        for (Thread client : clients) {
            client.join();
        }
        for (Endpoint endpoint : endpoints) {
            endpoint.close();
        }
        double lastSixth = termAt + GRACE_MILLIS / 1_000.0 * 5 / 6;
        int lost = 0;
        for (String id : cut.keySet().stream().sorted().toList()) {
            // Not counted: its endpoint was still at work in the last sixth of graceS, or it wasn't passed on.
            boolean excused = !ran.contains(id) || workEnded.getOrDefault(id, Double.MAX_VALUE) >= lastSixth;
            record.line((excused ? "excused: " : "lost: ") + id + ", its endpoint's work ended at " + workEnded.get(id)
                    + ", its connection ended without a complete answer at " + cut.get(id));
            lost += excused ? 0 : 1;
        }
        record.line("SIGTERM at " + termAt + ", " + answered.size() + " requests answered");
        record.line("LOST " + (lost > 0 ? "broken: " : "held: ") + lost
                + " requests had been passed on, and their connection ended without a complete answer");
        return lost > 0 ? Case.BROKEN : Case.HELD;
    }

    private Endpoint endpoint(String id, String service, List<Fleet.Machine> controls, Endpoint.Work work)
            throws IOException {
        return new Endpoint(id, service, "zurich-a", "127.0.0.1", 8, work, fleet, () -> controls, record);
    }

    private boolean download(Endpoint endpoint, Endpoint.Request request, java.io.OutputStream out)
            throws IOException {
        ran.add(request.id());
        try {
            Endpoint.write(out, endpoint.head(request, "200 OK", PARTS * PART_BYTES));
            for (int index = 0; index < PARTS; index++) {
                out.write(new byte[PART_BYTES]);
                out.flush();
                Endpoint.work(PART_MILLIS);
            }
            return true;
        } finally {
            workEnded.put(request.id(), record.seconds());
        }
    }

    private boolean lookUp(Endpoint endpoint, Endpoint.Request request, java.io.OutputStream out) throws IOException {
        ran.add(request.id());
        Endpoint.work(50);
        Endpoint.write(out, endpoint.head(request, "200 OK", 5) + "found");
        workEnded.put(request.id(), record.seconds());
        return true;
    }

    private void client(int number, Fleet.Machine entry) {
        List<String> ids = new ArrayList<>();
        StringBuilder requests = new StringBuilder();
        for (int index = 0; index <= BEHIND; index++) {
            String id = "c" + number + "-" + index;
            ids.add(id);
            requests.append("GET /").append(index == 0 ? "bundle" : "file").append("/1 HTTP/1.1\r\n")
                    .append("Host: any.example\r\nX-Request-Id: ").append(id)
                    .append("\r\nX-Deadline-Ms: 20000\r\n\r\n");
        }
        int done = 0;
        try (Socket socket = new Socket()) {
            socket.connect(Answers.address(fleet.front(entry)), 1_000);
            socket.setSoTimeout(20_000);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Endpoint.write(socket.getOutputStream(), requests.toString());
            while (done < ids.size()) {
                boolean kept = Answers.read(in, ids.get(done), record);
                answered.put(ids.get(done), record.seconds());
                done++;
                if (!kept && done < ids.size()) {
                    throw new IOException("the connection was closed with an answer");
                }
            }
        } catch (IOException e) {
            record.line("client " + number + ": " + e.getMessage() + ", unanswered " + ids.subList(done, ids.size()));
            ids.subList(done, ids.size()).forEach(id -> cut.put(id, record.seconds()));
        }
    }

    private static String document() {
        return "{\"version\":\"r1\",\"routes\":{\"columns\":[\"name\",\"hostname\",\"pathPrefix\",\"routeType\","
                + "\"timeoutS\",\"targetLatencyS\",\"priority\",\"service\",\"maxAttempts\",\"sessionAffinity\","
                + "\"homeRegions\",\"trafficSplit\"],\"rows\":["
                + "[\"r-a\",\"any.example\",\"/bundle/\",\"download\",20,2,2,\"vault\",2,false,[],null],"
                + "[\"r-b\",\"any.example\",\"/file/\",\"safe\",20,0.6,2,\"desk\",2,false,[],null]]},"
                + "\"services\":{\"columns\":[\"name\",\"healthPath\",\"maxConnections\",\"protocol\",\"tls\","
                + "\"coldStartS\",\"coldPerS\"],\"rows\":[[\"vault\",\"/health\",780,\"h1\",false,3.0,7.7],"
                + "[\"desk\",\"/health\",780,\"h1\",false,3.0,7.7]]},\"limits\":{\"maxHeaderBytes\":16384,"
                + "\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}}";
    }
}
