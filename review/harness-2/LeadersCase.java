import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Six control instances. The machine that leads is lost for good and replaced by an empty one at another address, again
 * and again, each time when the last replacement has long been taken in. The operator reads the configuration back.
 *
 * <p>With CORE=3 there are three control instances, and the first two are replaced, whichever leads.
 */
public final class LeadersCase {
    private static final int CONTROLS = "3".equals(System.getenv("CORE")) ? 3 : 6;
    private static final int ROUTES = 8;
    private static final int REPLACEMENTS = CONTROLS == 3 ? 2 : 6;
    // Pages: an empty one comes a second later, and counts as lost for catchUpS (4 s) more.
    private static final long SUCCESSOR_AFTER_MILLIS = 1_000;
    private static final long NEXT_AFTER_MILLIS = 7_000;
    private static final long READ_MILLIS = 15_000;

    private LeadersCase() {}

    public static void main(String[] arguments) {
        Case.run(arguments[0], LeadersCase::play);
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
        fleet.start(fleet.add("entry", "zurich-a"), seeds, true);
        Operator operator = new Operator(fleet, () -> List.copyOf(current), record);
        if (!operator.order("/api/Config.Replace", Documents.of(1, ROUTES), "r1", 20_000)) {
            record.line("the deployment did not start");
            return Case.NOT_RUN;
        }
        Operator.pause(5_000);
        String newest = Documents.of(2, ROUTES);
        if (!operator.order("/api/Config.Replace", newest, "r2", 4_000)) {
            return Case.NOT_RUN;
        }
        boolean held = true;
        for (int round = 1; trouble && held && round <= REPLACEMENTS; round++) {
            Optional<Fleet.Machine> leader = leader(fleet, current, record);
            if (leader.isEmpty()) {
                break;
            }
            replace(fleet, current, CONTROLS == 3 ? current.get(round - 1) : leader.get());
            long endNanos = System.nanoTime() + NEXT_AFTER_MILLIS * 1_000_000;
            held = readBack(operator, current, newest, record, NEXT_AFTER_MILLIS);
            Operator.pause(Math.max(0, (endNanos - System.nanoTime()) / 1_000_000));
            record.line("after replacement " + round + ": the configuration "
                    + (held ? "is read back" : "isn't read back"));
        }
        held = readBack(operator, current, newest, record, READ_MILLIS);
        for (Fleet.Machine machine : current) {
            if (!fleet.isRunning(machine)) {
                record.line(machine.name + " has ended by itself");
            }
        }
        record.line("CONFIG " + (held ? "held" : "broken: the newest acknowledged version isn't read back"));
        return held ? Case.HELD : Case.BROKEN;
    }

    /** The machine that says in its metrics that it leads. */
    private static Optional<Fleet.Machine> leader(Fleet fleet, List<Fleet.Machine> current, Recorder record) {
        long endNanos = System.nanoTime() + 5_000_000_000L;
        while (System.nanoTime() < endNanos) {
            for (Fleet.Machine machine : current) {
                Calls.Answer answer = Calls.call(
                        fleet.metrics(machine), "GET", "/metrics", "Host: metrics\r\n", new byte[0], 1_000);
                if (answer.body().lines().anyMatch(line -> line.matches("[a-z_{}=\"]*control[._]leads[^ ]* 1(\\.0)?"))) {
                    record.line("leader " + machine.name);
                    return Optional.of(machine);
                }
            }
            Operator.pause(200);
        }
        record.line("no machine says that it leads");
        return Optional.empty();
    }

    private static void replace(Fleet fleet, List<Fleet.Machine> current, Fleet.Machine old) throws Exception {
        fleet.kill(old);
        Operator.pause(SUCCESSOR_AFTER_MILLIS);
        Fleet.Machine successor = fleet.add("control", old.zone);
        // The seeds are three of the machines that the operator's list named before.
        List<Fleet.Machine> seeds = current.stream().filter(machine -> machine != old).limit(3).toList();
        fleet.start(successor, seeds, false);
        current.set(current.indexOf(old), successor);
    }

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
            }
            Operator.pause(300);
        }
        return false;
    }
}
