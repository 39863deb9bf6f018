import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send a large download and, before it is answered, three small safe requests on the same kept connection. Some
 * endpoints of the downloads break off a few of their answers; the endpoints of the small requests are sound.
 */
public final class PipelineCase {
    private static final int CLIENTS = 8;
    private static final int SECONDS = 30;
    private static final int LARGE_BYTES = 90_000;
    private static final int VAULTS = 5;
    // The doses of garble in the site file: share 0.6 of the endpoints, 0.03 of their answers.
    private static final int GARBLING_VAULTS = 3;
    private static final int EACH = 33;
    private static final int BEHIND = 3;
    // More than this breaks the rule.
    private static final int ALLOWED = 3;

    private final Recorder record;
    private final Fleet fleet;
    private final boolean trouble;
    private final Set<String> ranAtSound = ConcurrentHashMap.newKeySet();
    private final Map<String, Boolean> unanswered = new ConcurrentHashMap<>();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger brokenOff = new AtomicInteger();

    private PipelineCase(Fleet fleet, Recorder record, boolean trouble) {
        this.fleet = fleet;
        this.record = record;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) {
        Case.run(arguments[0], (fleet, record, trouble) -> new PipelineCase(fleet, record, trouble).play());
    }

    private int play() throws Exception {
        List<Fleet.Machine> controls = new ArrayList<>();
        List<Fleet.Machine> entries = new ArrayList<>();
        for (String zone : List.of("zurich-a", "geneva-a", "lugano-a")) {
            controls.add(fleet.add("control", zone));
        }
        for (String zone : List.of("zurich-a", "zurich-a")) {
            entries.add(fleet.add("entry", zone));
        }
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
        for (int index = 0; index < VAULTS; index++) {
            endpoints.add(endpoint("vault-" + index, "vault", controls, download(index < GARBLING_VAULTS)));
            endpoints.add(endpoint("desk-" + index, "desk", controls, this::lookUp));
        }
        long endNanos = System.nanoTime() + 10_000_000_000L;
        while (!endpoints.stream().allMatch(Endpoint::isAcknowledged)) {
            if (System.nanoTime() > endNanos) {
                record.line("not all endpoints were acknowledged");
                return Case.NOT_RUN;
            }
            Operator.pause(100);
        }
        Operator.pause(4_000);
        List<Thread> clients = new ArrayList<>();
        long stopNanos = System.nanoTime() + SECONDS * 1_000_000_000L;
        for (int client = 0; client < CLIENTS; client++) {
            int number = client;
            Thread thread = new Thread(() -> client(number, entries.get(number % entries.size()), stopNanos));
            clients.add(thread);
            thread.start();
        }
        for (Thread client : clients) {
            client.join();
        }
        Operator.pause(1_000);
        for (Endpoint endpoint : endpoints) {
            endpoint.close();
        }
        List<String> lost =
                unanswered.keySet().stream().filter(ranAtSound::contains).sorted().toList();
        lost.forEach(id -> record.line("lost: " + id + " was run by a sound endpoint, its connection closed unanswered"));
        record.line(sent + " requests sent, " + answered + " answered, " + brokenOff + " downloads broken off by endpoints");
        record.line("LOST " + (lost.size() > ALLOWED ? "broken: " : "held: ") + lost.size()
                + " requests were passed on to a sound endpoint and had their kept connection closed without an answer");
        if (answered.get() == 0) {
            return Case.NOT_RUN;
        }
        return lost.size() > ALLOWED ? Case.BROKEN : Case.HELD;
    }

    private Endpoint endpoint(String id, String service, List<Fleet.Machine> controls, Endpoint.Work work)
            throws IOException {
        return new Endpoint(id, service, "zurich-a", "127.0.0.1", 8, work, fleet, () -> controls, record);
    }

    private Endpoint.Work download(boolean garbles) {
        AtomicInteger answers = new AtomicInteger();
        return (endpoint, request, out) -> {
            Endpoint.work(40);
            boolean breaksOff = trouble && garbles && answers.incrementAndGet() % EACH == 0;
            Endpoint.write(out, endpoint.head(request, "200 OK", LARGE_BYTES));
            byte[] part = new byte[LARGE_BYTES / 3];
            java.util.Arrays.fill(part, (byte) 'b');
            for (int index = 0; index < 3; index++) {
                if (breaksOff && index == 2) {
                    brokenOff.incrementAndGet();
                    record.line(endpoint.id + " breaks off its answer to " + request.id());
                    return false;
                }
                out.write(part);
                out.flush();
                Endpoint.work(30);
            }
            return true;
        };
    }

    private boolean lookUp(Endpoint endpoint, Endpoint.Request request, OutputStream out) throws IOException {
        ranAtSound.add(request.id());
        Endpoint.work(50);
        Endpoint.write(out, endpoint.head(request, "200 OK", 5) + "found");
        return true;
    }

    private void client(int number, Fleet.Machine entry, long stopNanos) {
        Socket socket = null;
        InputStream in = null;
        try {
            for (int round = 0; System.nanoTime() < stopNanos; round++) {
                List<String> ids = new ArrayList<>();
                for (int index = 0; index <= BEHIND; index++) {
                    ids.add("c" + number + "-" + round + "-" + index);
                }
                int done = 0;
                try {
                    if (socket == null) {
                        socket = new Socket();
                        socket.connect(Answers.address(fleet.front(entry)), 1_000);
                        socket.setTcpNoDelay(true);
                        socket.setSoTimeout(6_000);
                        in = new BufferedInputStream(socket.getInputStream());
                    }
                    StringBuilder requests = new StringBuilder();
                    for (int index = 0; index <= BEHIND; index++) {
                        requests.append("GET /").append(index == 0 ? "bundle" : "file").append("/1 HTTP/1.1\r\n")
                                .append("Host: any.example\r\nX-Request-Id: ").append(ids.get(index))
                                .append("\r\nX-Deadline-Ms: 4000\r\n\r\n");
                    }
                    sent.addAndGet(ids.size());
                    Endpoint.write(socket.getOutputStream(), requests.toString());
                    boolean kept = true;
                    while (kept && done < ids.size()) {
                        kept = Answers.read(in, ids.get(done), record);
                        done++;
                        answered.incrementAndGet();
                    }
                    if (!kept) {
                        // The close was announced: what is behind counts as not read, unless it was passed on.
                        throw new IOException("the connection was closed with an answer");
                    }
                } catch (IOException e) {
                    record.line("client " + number + ": " + e.getMessage() + ", unanswered " + ids.subList(done, ids.size()));
                    // The download itself was broken off by its endpoint.
                    ids.subList(done, ids.size()).forEach(id -> unanswered.put(id, true));
                    socket.close();
                    socket = null;
                }
            }
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            record.line("client " + number + " ends: " + e.getMessage());
        }
    }

    private static String document() {
        return new String(
                ("{\"version\":\"r1\",\"routes\":{\"columns\":[\"name\",\"hostname\",\"pathPrefix\",\"routeType\","
                        + "\"timeoutS\",\"targetLatencyS\",\"priority\",\"service\",\"maxAttempts\",\"sessionAffinity\","
                        + "\"homeRegions\",\"trafficSplit\"],\"rows\":["
                        + "[\"r-a\",\"any.example\",\"/bundle/\",\"download\",4,0.5,2,\"vault\",2,false,[],null],"
                        + "[\"r-b\",\"any.example\",\"/file/\",\"safe\",4,0.6,2,\"desk\",2,false,[],null]]},"
                        + "\"services\":{\"columns\":[\"name\",\"healthPath\",\"maxConnections\",\"protocol\",\"tls\","
                        + "\"coldStartS\",\"coldPerS\"],\"rows\":[[\"vault\",\"/health\",780,\"h1\",false,3.0,7.7],"
                        + "[\"desk\",\"/health\",780,\"h1\",false,3.0,7.7]]},\"limits\":{\"maxHeaderBytes\":16384,"
                        + "\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}}")
                        .getBytes(StandardCharsets.UTF_8),
                StandardCharsets.UTF_8);
    }
}
