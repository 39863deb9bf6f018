import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Random;

/**
 * Three control instances. The operator changes a configuration of many routes again and again, as fast as a storm of the
 * pages, at the machine that it has always used as long as that answers, and reads the configuration back at the end.
 */
public final class StormCase {
    private static final int CONTROLS = Integer.getInteger("controls", 3);
    private static final int ROUTES = Integer.getInteger("routes", 14_000);
    private static final int CHANGES = Integer.getInteger("changes", 300);
    // Without the disruption only so many changes are sent.
    private static final int FEW_CHANGES = 10;
    // A storm of the pages: a change each 0.33 s.
    private static final long GAP_MILLIS = 330;
    private static final long READ_MILLIS = 10_000;

    private StormCase() {}

    public static void main(String[] arguments) {
        Case.run(arguments[0], (fleet, record, trouble) -> play(fleet, record, trouble ? CHANGES : FEW_CHANGES));
    }

    private static int play(Fleet fleet, Recorder record, int changes) throws Exception {
        List<Fleet.Machine> controls = new ArrayList<>();
        for (int index = 0; index < CONTROLS; index++) {
            controls.add(fleet.add("control", Fleet.zoneNames().get(index)));
        }
        List<Fleet.Machine> seeds = List.of(controls.get(0), controls.get(1), controls.get(2));
        for (Fleet.Machine machine : controls) {
            fleet.start(machine, seeds, true);
        }
        Fleet.Machine front = fleet.add("entry", "zurich-a");
        fleet.start(front, seeds, true);
        Operator operator = new Operator(fleet, () -> controls, record, true);
        if (!operator.order("/api/Config.Replace", document(1), "r1", 20_000)) {
            record.line("the deployment did not start");
            return Case.NOT_RUN;
        }
        Operator.pause(4_000);
        int acknowledged = 1;
        int sent = 1;
        int unacknowledged = 0;
        long nextNanos = System.nanoTime();
        long endNanos = System.nanoTime() + 80_000 * 1_000_000L;
        for (int version = 2; version <= changes && System.nanoTime() < endNanos; version++) {
            String document = document(version);
            if (operator.order("/api/Config.Replace", document, "r" + version, 5_000)) {
                acknowledged = version;
                unacknowledged = 0;
            } else {
                record.line("r" + version + " was not acknowledged within 5 s");
                unacknowledged++;
            }
            sent = version;
            if (unacknowledged == 3) {
                record.line("three changes in a row were not acknowledged; no further change is sent");
                break;
            }
            nextNanos = Math.max(System.nanoTime(), nextNanos + GAP_MILLIS * 1_000_000);
            Operator.pause((nextNanos - System.nanoTime()) / 1_000_000);
        }
        record.line("newest acknowledged version r" + acknowledged);
        boolean held = readBack(operator, controls, acknowledged, sent, record);
        for (Fleet.Machine machine : controls) {
            record.line(machine.name + (fleet.isRunning(machine) ? " is running" : " has ended by itself"));
        }
        record.line("CONFIG " + (held ? "held" : "broken: the newest acknowledged version isn't read back"));
        return held ? Case.HELD : Case.BROKEN;
    }

    /** Reads at all machines again and again; whether one has returned the newest acknowledged version or a later one. */
    private static boolean readBack(
            Operator operator, List<Fleet.Machine> controls, int acknowledged, int sent, Recorder record) {
        long endNanos = System.nanoTime() + READ_MILLIS * 1_000_000;
        while (System.nanoTime() < endNanos) {
            for (Fleet.Machine machine : controls) {
                Calls.Answer answer = operator.read(machine);
                record.line("read at " + machine.name + ": " + answer.status() + " " + answer.body().length() + " bytes");
                if (answer.status() == 200) {
                    // A change that got no clear answer may be in force.
                    boolean same = false;
                    for (int version = acknowledged; version <= sent; version++) {
                        same |= answer.body().equals(document(version));
                    }
                    record.line(same ? "it is the newest acknowledged version" : "it is another version");
                    return same;
                }
            }
            Operator.pause(300);
        }
        return false;
    }

    /** A configuration whose versions change the times of the routes. */
    private static String document(int version) {
        Random names = new Random(1);
        Random times = new Random(version);
        StringBuilder text = new StringBuilder(ROUTES * 150);
        text.append("{\"version\":\"r").append(version).append("\",\"routes\":{\"columns\":[\"name\",\"hostname\",")
                .append("\"pathPrefix\",\"routeType\",\"timeoutS\",\"targetLatencyS\",\"priority\",\"service\",")
                .append("\"maxAttempts\",\"sessionAffinity\",\"homeRegions\",\"trafficSplit\"],\"rows\":[");
        for (int route = 0; route < ROUTES; route++) {
            String name = HexFormat.of().toHexDigits(names.nextLong());
            String host = HexFormat.of().toHexDigits(names.nextLong());
            String path = HexFormat.of().toHexDigits(names.nextLong());
            text.append(route == 0 ? "" : ",")
                    .append("[\"r-").append(name).append("\",\"").append(host).append(".example\",\"/").append(path)
                    .append("/\",\"safe\",").append((1_000_000 + times.nextInt(3_000_000)) / 1e6).append(',')
                    .append((200_000 + times.nextInt(800_000)) / 1e6).append(",1,\"huvo11a\",2,true,[],null]");
        }
        text.append("]},\"services\":{\"columns\":[\"name\",\"healthPath\",\"maxConnections\",\"protocol\",\"tls\",")
                .append("\"coldStartS\",\"coldPerS\"],\"rows\":[[\"huvo11a\",\"/health\",780,\"h1\",false,3.0,7.7]]},")
                .append("\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,")
                .append("\"idleTimeoutS\":15}}");
        return text.toString();
    }
}
