import java.util.ArrayList;
import java.util.List;

/**
 * Six control instances accept some tens of changes of a configuration of many routes. Then each is replaced by an empty
 * one at another address, one after the other, as an operator renews machines. The operator reads the configuration back.
 */
public final class LargeHistoryCase {
    private static final int CONTROLS = 6;
    private static final int ROUTES = Integer.getInteger("routes", 1_500);
    private static final int CHANGES = Integer.getInteger("changes", 130);
    // Pages: an empty one comes a second later; it has catchUpS (4 s) until it must take part.
    private static final long SUCCESSOR_AFTER_MILLIS = 1_000;
    private static final long NEXT_AFTER_MILLIS = 7_000;

    private LargeHistoryCase() {}

    public static void main(String[] arguments) {
        Case.run(arguments[0], LargeHistoryCase::play);
    }

    private static int play(Fleet fleet, Recorder record, boolean trouble) throws Exception {
        List<Fleet.Machine> current = new ArrayList<>();
        for (int index = 0; index < CONTROLS; index++) {
            current.add(fleet.add("control", Fleet.zoneNames().get(index)));
        }
        List<Fleet.Machine> seeds = List.of(current.get(0), current.get(1), current.get(2));
        for (Fleet.Machine machine : current) {
            fleet.start(machine, seeds, true);
        }
        Fleet.Machine front = fleet.add("entry", "zurich-a");
        fleet.start(front, seeds, true);
        Operator operator = new Operator(fleet, () -> List.copyOf(current), record);
        if (!operator.order("/api/Config.Replace", Documents.of(1, ROUTES), "r1", 20_000)) {
            record.line("the deployment did not start");
            return Case.NOT_RUN;
        }
        Operator.pause(4_000);
        String newest = "";
        for (int version = 2; version <= CHANGES; version++) {
            String document = Documents.of(version, ROUTES);
            if (!operator.order("/api/Config.Replace", document, "r" + version, 10_000)) {
                record.line("r" + version + " was not acknowledged before any disruption");
                return Case.NOT_RUN;
            }
            newest = document;
        }
        record.line("newest acknowledged version r" + CHANGES + ", " + newest.length() + " bytes");
        if (!readBack(operator, current, newest, record, 5_000)) {
            return Case.NOT_RUN;
        }
        if (trouble) {
            for (int index = 0; index < CONTROLS; index++) {
                replace(fleet, current, index, record);
                long endNanos = System.nanoTime() + NEXT_AFTER_MILLIS * 1_000_000;
                boolean held = readBack(operator, current, newest, record, NEXT_AFTER_MILLIS);
                Operator.pause(Math.max(0, (endNanos - System.nanoTime()) / 1_000_000));
                recordDropped(fleet, current, record);
                record.line("after replacement " + (index + 1) + ": the configuration "
                        + (held ? "is read back" : "isn't read back"));
            }
        }
        boolean held = readBack(operator, current, newest, record, 10_000);
        for (Fleet.Machine machine : current) {
            if (!fleet.isRunning(machine)) {
                record.line(machine.name + " has ended by itself");
            }
        }
        record.line("CONFIG " + (held ? "held" : "broken: the newest acknowledged version isn't read back"));
        return held ? Case.HELD : Case.BROKEN;
    }

    /** Notes the machines' own count of frames that they have dropped. */
    private static void recordDropped(Fleet fleet, List<Fleet.Machine> current, Recorder record) {
        for (Fleet.Machine machine : current) {
            Calls.call(fleet.metrics(machine), "GET", "/metrics", "Host: metrics\r\n", new byte[0], 1_000)
                    .body()
                    .lines()
                    .filter(line -> line.contains("peers_frames_unread"))
                    .forEach(line -> record.line(machine.name + " counts " + line));
        }
    }

    private static void replace(Fleet fleet, List<Fleet.Machine> current, int index, Recorder record)
            throws Exception {
        Fleet.Machine old = current.get(index);
        fleet.kill(old);
        Operator.pause(SUCCESSOR_AFTER_MILLIS);
        Fleet.Machine successor = fleet.add("control", old.zone);
        // The seeds are three of the machines that the operator's list named before.
        List<Fleet.Machine> seeds = new ArrayList<>();
        for (int step = 1; step <= 3; step++) {
            seeds.add(current.get((index + step) % current.size()));
        }
        fleet.start(successor, seeds, false);
        current.set(index, successor);
    }

    /** Reads at all machines again and again; whether one has returned the newest acknowledged version. */
    private static boolean readBack(
            Operator operator, List<Fleet.Machine> current, String newest, Recorder record, long withinMillis) {
        long endNanos = System.nanoTime() + withinMillis * 1_000_000;
        while (System.nanoTime() < endNanos) {
            for (Fleet.Machine machine : List.copyOf(current)) {
                Calls.Answer answer = operator.read(machine);
                boolean same = answer.status() == 200 && answer.body().equals(newest);
                record.line("read at " + machine.name + ": " + answer.status() + " " + answer.body().length() + " bytes"
                        + (same ? ", the newest acknowledged version" : ""));
                if (same) {
                    return true;
                }
                if (answer.status() == 200) {
                    record.line("another version was read: "
                            + answer.body().substring(0, Math.min(24, answer.body().length())));
                    return false;
                }
            }
            Operator.pause(300);
        }
        return false;
    }
}
