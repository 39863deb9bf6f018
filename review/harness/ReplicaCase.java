package review;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * CONFIG: six control instances in three regions. One region is lost for 20 s and comes back with its disks; later
 * another region is lost. One region is what may be lost at once.
 *
 * <p>FIRST=0 leaves out only the first loss, to show that the second alone is borne.
 */
final class ReplicaCase extends Case {
    private static final int FIRST_LOSS_MILLIS = 20_000;

    private final boolean first = !"0".equals(System.getenv("FIRST"));

    public static void main(String[] args) throws Exception {
        main(new ReplicaCase(), args);
    }

    @Override
    boolean run(Record record) throws Exception {
        Map<String, String> zones = new LinkedHashMap<>();
        for (String half : List.of("a", "b")) {
            for (String region : List.of("east", "west", "south")) {
                zones.put(region + "-" + half, region);
            }
        }
        try (Rig rig = new Rig(record, zones, 6, List.of("east-a", "south-a"))) {
            String route = route("read", "/read/", "safe", 1.2, 2, true);
            rig.start(configuration(1, route));
            // As long as the machines have before traffic starts; the three that are no seeds join meanwhile.
            Thread.sleep(13_000);
            tellReplicas(record, rig);
            List<Rig.Node> west = inRegion(rig, zones, "west");
            List<Rig.Node> south = inRegion(rig, zones, "south");
            List<String> staying = inRegion(rig, zones, "east").stream()
                    .map(node -> node.address("control"))
                    .toList();
            if (trouble && first) {
                lose(west);
                Thread.sleep(FIRST_LOSS_MILLIS);
                for (Rig.Node node : west) {
                    node.start();
                }
                Thread.sleep(12_000);
                record.tell("region west has been back for 12 s");
                tellReplicas(record, rig);
            }
            if (rig.order("POST", "/api/Config.Replace", configuration(2, route), 8, staying) != 200) {
                throw new CannotRun("the second configuration was not acknowledged");
            }
            if (trouble) {
                lose(south);
            }
            Thread.sleep((long) (Rig.CONTACT_WINDOW_S * 1_000) + 1_000);
            List<String> running = rig.controls.stream()
                    .filter(Rig.Node::isRunning)
                    .map(node -> node.address("control"))
                    .toList();
            record.tell(running.size() + " of 6 control instances run, and reach each other");
            int acknowledged = rig.order("POST", "/api/Config.Replace", configuration(3, route), 10, running);
            record.tell("the third configuration: " + (acknowledged == 0 ? "no clear response" : acknowledged));
            int newest = acknowledged == 200 ? 3 : 2;
            boolean read = readBack(record, rig, running, newest, acknowledged != 0);
            return read;
        }
    }

    private static List<Rig.Node> inRegion(Rig rig, Map<String, String> zones, String region) {
        return rig.controls.stream()
                .filter(node -> zones.get(node.zone).equals(region))
                .toList();
    }

    private static void lose(List<Rig.Node> region) throws IOException, InterruptedException {
        for (Rig.Node node : region) {
            node.signal("KILL");
            node.awaitEnd(5_000);
        }
    }

    private static void tellReplicas(Record record, Rig rig) {
        for (Rig.Node node : rig.controls) {
            record.tell(node.name + " in " + node.zone + " hears a leader: "
                    + node.metric("bulrushwheel_control_hears_leader"));
        }
    }

    /** Asks every running control instance, for longer than the contact window, as at the end of a day. */
    private static boolean readBack(Record record, Rig rig, List<String> running, int newest, boolean exact)
            throws InterruptedException {
        double until = record.now() + 10;
        for (int index = 0; record.now() < until; index++) {
            String target = running.get(index % running.size());
            try {
                Http.Message answer =
                        Http.call(target, "GET", "/api/Config.Read", Map.of("Host", target), new byte[0], 1_000);
                String body = new String(answer.body, java.nio.charset.StandardCharsets.UTF_8);
                record.line("operator reads at " + target + ": " + answer.status() + " "
                        + body.substring(0, Math.min(30, body.length())));
                boolean found = body.contains("\"version\":\"r" + newest + "\"")
                        || (!exact && body.contains("\"version\":\"r3\""));
                if (answer.status() == 200) {
                    record.tell("the configuration is read back; it is the newest: " + found);
                    return found;
                }
            } catch (IOException e) {
                record.line("operator reads at " + target + ": " + e.getMessage());
            }
            Thread.sleep(200);
        }
        record.tell("the configuration doesn't come, from any running instance, for 10 s");
        return false;
    }
}
