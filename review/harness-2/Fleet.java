import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The project's own programs as separate processes, started with the commands of the deploy file in the repository root.
 * Each machine has a loopback address of its own; the ports are the same on all machines.
 */
final class Fleet implements AutoCloseable {
    /** One machine: its process may be killed, stopped, and started again with what is on its disk. */
    static final class Machine {
        final String name;
        final String role;
        final String zone;
        final String ip;
        Process process;

        Machine(String name, String role, String zone, String ip) {
            this.name = name;
            this.role = role;
            this.zone = zone;
            this.ip = ip;
        }
    }

    private static final Pattern RUN = Pattern.compile("\\[roles\\.(\\w+)]\\s+run = \"([^\"]*)\"");
    private static final Map<String, String> ZONES = zones();

    final Path folder = Files.createTempDirectory("bulrushwheel-case");
    final List<Machine> machines = new ArrayList<>();
    private final Map<String, String> commands = new LinkedHashMap<>();
    private final String network = "127."
            + ThreadLocalRandom.current().nextInt(3, 250) + "."
            + ThreadLocalRandom.current().nextInt(1, 250) + ".";
    private final List<Integer> ports;
    private final Recorder record;
    private final int coldSlack = 5;
    private int addresses;

    Fleet(Recorder record) throws IOException {
        this.record = record;
        Matcher matcher = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
        while (matcher.find()) {
            commands.put(matcher.group(1), matcher.group(2));
        }
        if (!commands.containsKey("entry") || !commands.containsKey("control")) {
            throw new IOException("the deploy file has no roles entry and control");
        }
        ports = freePorts(6);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    private static Map<String, String> zones() {
        Map<String, String> zones = new LinkedHashMap<>();
        for (String region : List.of("zurich", "geneva", "lugano")) {
            zones.put(region + "-a", region);
            zones.put(region + "-b", region);
        }
        return zones;
    }

    static List<String> zoneNames() {
        return List.copyOf(ZONES.keySet());
    }

    /** Adds a machine with an address of its own; its process isn't started. */
    Machine add(String role, String zone) {
        addresses++;
        Machine machine = new Machine(role + "-" + addresses, role, zone, network + addresses);
        machines.add(machine);
        return machine;
    }

    String peer(Machine machine) {
        return machine.ip + ":" + ports.get(0);
    }

    String control(Machine machine) {
        return machine.ip + ":" + ports.get(1);
    }

    String directory(Machine machine) {
        return machine.ip + ":" + ports.get(2);
    }

    String front(Machine machine) {
        return machine.ip + ":" + ports.get(3);
    }

    String ready(Machine machine) {
        return machine.ip + ":" + ports.get(4);
    }

    String metrics(Machine machine) {
        return machine.ip + ":" + ports.get(5);
    }

    /** Starts the process of a machine; seeds are machines that serve control. */
    void start(Machine machine, List<Machine> seeds, boolean bootstrap) throws IOException {
        Path settings = folder.resolve(machine.name + ".toml");
        Files.writeString(settings, settings(machine, seeds, bootstrap));
        ProcessBuilder builder = new ProcessBuilder(List.of(commands.get(machine.role).split(" ")));
        builder.environment().put("BULRUSHWHEEL_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(
                folder.resolve(machine.name + ".log").toFile()));
        machine.process = builder.start();
        record.line("start " + machine.name + " " + machine.ip + " zone " + machine.zone + " bootstrap " + bootstrap);
    }

    private String settings(Machine machine, List<Machine> seeds, boolean bootstrap) throws IOException {
        StringBuilder text = new StringBuilder();
        text.append("instance = \"").append(machine.name).append("\"\n");
        text.append("zone = \"").append(machine.zone).append("\"\n");
        text.append("region = \"").append(ZONES.get(machine.zone)).append("\"\n");
        text.append("peerAddress = \"").append(peer(machine)).append("\"\n");
        if (machine.role.equals("entry")) {
            text.append("callerAddress = \"").append(front(machine)).append("\"\n");
            text.append("readinessAddress = \"").append(ready(machine)).append("\"\n");
        } else {
            Path data = Files.createDirectories(folder.resolve("data-" + machine.name));
            text.append("controlAddress = \"").append(control(machine)).append("\"\n");
            text.append("lookupAddress = \"").append(directory(machine)).append("\"\n");
            text.append("dataFolder = \"").append(data).append("\"\n");
        }
        text.append("metricsAddress = \"").append(machine.ip).append(':').append(ports.get(5)).append("\"\n");
        List<String> quoted = seeds.stream().map(seed -> '"' + control(seed) + '"').toList();
        text.append("seeds = [").append(String.join(",", quoted)).append("]\n");
        text.append("firstStart = ").append(bootstrap).append('\n');
        text.append("linkMegabitsPerSecond = 700.0\n");
        ZONES.forEach((zone, region) ->
                text.append("[[zones]]\nzone = \"").append(zone).append("\"\nregion = \"").append(region).append("\"\n"));
        text.append("[bounds]\nstopGraceSeconds = 6\nretryWindowSeconds = 10\nretryRatio = 0.2\nretrySlack = 128\n");
        text.append("coldLoadFactor = 1.5\ncoldSlackRequests = ").append(coldSlack).append('\n');
        text.append("announcementSeconds = 1.5\nlookupValidSeconds = 1.5\n");
        return text.toString();
    }

    void kill(Machine machine) {
        machine.process.destroyForcibly();
        record.line("kill " + machine.name);
    }

    /** Sends a signal (STOP, CONT, TERM) to a process that this fleet started. */
    void signal(Machine machine, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(machine.process.pid())).start().waitFor();
        record.line("signal " + signal + " " + machine.name);
    }

    boolean isRunning(Machine machine) {
        return machine.process != null && machine.process.isAlive();
    }

    @Override
    public void close() {
        for (Machine machine : machines) {
            if (machine.process != null) {
                machine.process.destroyForcibly();
            }
        }
        try {
            for (Machine machine : machines) {
                if (machine.process != null) {
                    machine.process.waitFor(5, TimeUnit.SECONDS);
                }
            }
            deleteFolder();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void deleteFolder() {
        if (System.getenv("KEEP") != null || !Files.exists(folder)) {
            return;
        }
        try (var paths = Files.walk(folder)) {
            for (Path path : paths.sorted((one, other) -> other.compareTo(one)).toList()) {
                Files.deleteIfExists(path);
            }
        } catch (IOException | UncheckedIOException e) {
            System.err.println("the temporary folder stays: " + e.getMessage());
        }
    }

    static List<Integer> freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        try {
            for (int index = 0; index < count; index++) {
                ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                sockets.add(socket);
                ports.add(socket.getLocalPort());
            }
        } finally {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
        return ports;
    }
}
