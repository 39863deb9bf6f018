package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment of the project's own processes on loopback addresses: control and entry instances with the
 * commands of the deploy file and the settings that the template gives. Ends all that it started.
 */
final class Rig implements AutoCloseable {
    static final double CONTACT_WINDOW_S = 3;
    static final double CONFIG_APPLY_S = 2.5;
    static final double EVACUATION_S = 5;
    static final double GRACE_S = 6;
    static final double COLD_PER_S = 3.1;
    static final double COLD_LOAD_FACTOR = 1.5;
    static final double COLD_SLACK = 5;

    /** One process with its addresses. */
    final class Node {
        final String name;
        final String role;
        final String zone;
        final String host = nextHost();
        private Process process;
        private boolean startedBefore;

        Node(String role, String zone, String name) {
            this.role = role;
            this.zone = zone;
            this.name = name;
        }

        String address(String what) {
            return host + ":" + ports.get(what);
        }

        void start() throws IOException {
            Path settings = folder.resolve(name + ".toml");
            Files.writeString(settings, settings(this));
            startedBefore = true;
            ProcessBuilder builder = new ProcessBuilder(commands.get(role).split(" "))
                    .directory(root.toFile())
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(
                            folder.resolve(name + ".log").toFile()));
            builder.environment().put("BULRUSHWHEEL_NODE_FILE", settings.toString());
            process = builder.start();
            record.tell("starts " + name + " " + process.pid());
        }

        void signal(String signal) throws IOException, InterruptedException {
            record.tell(signal + " to " + name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        boolean awaitEnd(long millis) throws InterruptedException {
            return process.waitFor(millis, TimeUnit.MILLISECONDS);
        }

        boolean isRunning() {
            return process != null && process.isAlive();
        }

        boolean isReady() {
            try {
                return Http.call(address("ready"), "GET", "/api/readiness", Map.of("Host", "x"), new byte[0], 1_000)
                                .status()
                        == 200;
            } catch (IOException e) {
                return false;
            }
        }

        /** A figure of the instance's metrics page; NaN if there is none. */
        double metric(String metric) {
            try {
                String page = new String(
                        Http.call(address("metrics"), "GET", "/metrics", Map.of("Host", "x"), new byte[0], 1_000).body,
                        StandardCharsets.UTF_8);
                for (String line : page.split("\n")) {
                    if (line.startsWith(metric + " ")) {
                        return Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1));
                    }
                }
            } catch (IOException e) {
                record.line("metrics of " + name + ": " + e.getMessage());
            }
            return Double.NaN;
        }
    }

    final Record record;
    final List<Node> controls = new ArrayList<>();
    final List<Node> entries = new ArrayList<>();
    private final Map<String, String> zones;
    private final Path root = Path.of("").toAbsolutePath();
    private final Path folder = Files.createTempDirectory("review");
    private final Map<String, Integer> ports = new HashMap<>();
    private final Map<String, String> commands = new HashMap<>();
    private final String network = "127." + ThreadLocalRandom.current().nextInt(2, 250) + "."
            + ThreadLocalRandom.current().nextInt(2, 250) + ".";
    private int hosts;
    private final List<Endpoint> endpoints = new ArrayList<>();

    /**
     * Reads the commands and chooses addresses.
     *
     * @param zones region of each zone, in order; control instances go round them
     */
    Rig(Record record, Map<String, String> zones, int controlCount, List<String> entryZones) throws IOException {
        this.record = record;
        this.zones = zones;
        Matcher run = Pattern.compile("\\[roles\\.(\\w+)\\]\\s+run = \"([^\"]*)\"")
                .matcher(Files.readString(root.resolve("deploy/system.toml")));
        while (run.find()) {
            commands.put(run.group(1), run.group(2));
        }
        String firstHost = network + "1";
        for (String what : List.of("peer", "caller", "ready", "control", "lookup", "metrics")) {
            try (ServerSocket probe = new ServerSocket()) {
                probe.bind(new InetSocketAddress(InetAddress.getByName(firstHost), 0));
                ports.put(what, probe.getLocalPort());
            }
        }
        List<String> zoneNames = List.copyOf(zones.keySet());
        for (int index = 0; index < controlCount; index++) {
            controls.add(new Node("control", zoneNames.get(index % zoneNames.size()), "control-" + (index + 1)));
        }
        for (String zone : entryZones) {
            entries.add(new Node("entry", zone, "entry-" + (entries.size() + 1)));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    }

    String nextHost() {
        return network + ++hosts;
    }

    Thread thread(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    List<String> controlAddresses() {
        return controls.stream().map(node -> node.address("control")).toList();
    }

    Endpoint endpoint(String service, String zone, int slots, Endpoint.Listener listener) {
        Endpoint endpoint = new Endpoint(this, service, zone, slots, listener);
        endpoints.add(endpoint);
        return endpoint;
    }

    /** Starts all processes, sends the configuration until it is accepted, and waits until all entries are ready. */
    void start(String configuration) throws IOException, InterruptedException {
        for (Node node : all()) {
            node.start();
        }
        if (order("POST", "/api/Config.Replace", configuration, 30, controlAddresses()) != 200) {
            throw new CannotRun("the first configuration was not accepted");
        }
        awaitReady(entries, 20);
    }

    void awaitReady(List<Node> nodes, double seconds) throws InterruptedException {
        double until = record.now() + seconds;
        for (Node node : nodes) {
            while (!node.isReady()) {
                if (record.now() > until) {
                    throw new CannotRun(node.name + " is not ready");
                }
                Thread.sleep(50);
            }
        }
    }

    /**
     * An order of the operator: to one control instance after the other, with increasing pauses, one second for each.
     * Returns the status of the clear response, or 0 if none came in time.
     */
    int order(String method, String path, String body, double seconds, List<String> targets)
            throws InterruptedException {
        double until = record.now() + seconds;
        long pauseMillis = 50;
        for (int index = 0; record.now() < until; index++) {
            String target = targets.get(index % targets.size());
            try {
                record.tell("operator sends " + path + " to " + target);
                int status = Http.call(
                                target,
                                method,
                                path,
                                Map.of("Host", target, "Content-Type", "application/json"),
                                body.getBytes(StandardCharsets.UTF_8),
                                1_000)
                        .status();
                record.tell("operator gets " + status + " for " + path + " from " + target);
                if (status < 500 && status != 408 && status != 429) {
                    return status;
                }
            } catch (IOException e) {
                record.tell("operator gets no response for " + path + " from " + target + ": " + e.getMessage());
            }
            Thread.sleep(pauseMillis);
            pauseMillis = Math.min(1_000, pauseMillis * 2);
        }
        return 0;
    }

    private List<Node> all() {
        return Stream.concat(controls.stream(), entries.stream()).toList();
    }

    private String settings(Node node) {
        StringBuilder text = new StringBuilder();
        text.append("instance = \"").append(node.name).append("\"\n");
        text.append("zone = \"").append(node.zone).append("\"\n");
        text.append("region = \"").append(zones.get(node.zone)).append("\"\n");
        text.append("peerAddress = \"").append(node.address("peer")).append("\"\n");
        if (node.role.equals("entry")) {
            text.append("callerAddress = \"").append(node.address("caller")).append("\"\n");
            text.append("readinessAddress = \"").append(node.address("ready")).append("\"\n");
        } else {
            text.append("controlAddress = \"").append(node.address("control")).append("\"\n");
            text.append("lookupAddress = \"").append(node.address("lookup")).append("\"\n");
            text.append("dataFolder = \"").append(folder.resolve(node.name)).append("\"\n");
        }
        text.append("metricsAddress = \"").append(node.address("metrics")).append("\"\n");
        text.append("seeds = [")
                .append(String.join(
                        ",",
                        controls.stream()
                                .limit(3)
                                .map(seed -> "\"" + seed.address("control") + "\"")
                                .toList()))
                .append("]\n");
        text.append("firstStart = ").append(!node.startedBefore).append("\n");
        text.append("linkMegabitsPerSecond = 700.0\n");
        zones.forEach((zone, region) -> text.append("[[zones]]\nzone = \"")
                .append(zone)
                .append("\"\nregion = \"")
                .append(region)
                .append("\"\n"));
        text.append("[bounds]\nstopGraceSeconds = 6\nretryWindowSeconds = 10\nretryRatio = 0.2\nretrySlack = 135\n")
                .append("coldLoadFactor = 1.5\ncoldSlackRequests = 5\nannouncementSeconds = 1.5\n")
                .append("lookupValidSeconds = 1.5\n");
        return text.toString();
    }

    private synchronized void endAll() {
        endpoints.forEach(Endpoint::close);
        for (Node node : all()) {
            if (node.process != null) {
                // SIGKILL also ends a stopped process.
                node.process.destroyForcibly();
            }
        }
        for (Node node : all()) {
            if (node.process != null) {
                node.process.onExit().orTimeout(5, TimeUnit.SECONDS).exceptionally(error -> null).join();
            }
        }
        String kept = System.getenv("KEEP_LOGS");
        if (kept != null || !Files.exists(folder)) {
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            System.err.println("cannot remove " + folder + ": " + e);
        }
    }

    Path folder() {
        return folder;
    }

    @Override
    public void close() {
        endAll();
    }
}
