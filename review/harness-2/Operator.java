import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;

/**
 * The operator as the pages tell it: it picks among the machines that serve control, moves on to another after a failure,
 * a 5xx or a time without an answer, and sends the same again until it is acknowledged.
 */
final class Operator {
    private static final byte[] NOTHING = {};

    private final Fleet fleet;
    private final Supplier<List<Fleet.Machine>> machines;
    private final Recorder record;
    private final Random random = new Random(7);
    private final boolean sticky;

    Operator(Fleet fleet, Supplier<List<Fleet.Machine>> machines, Recorder record) {
        this(fleet, machines, record, false);
    }

    /** An operator that is sticky begins each order with the first machine of its list. */
    Operator(Fleet fleet, Supplier<List<Fleet.Machine>> machines, Recorder record, boolean sticky) {
        this.sticky = sticky;
        this.fleet = fleet;
        this.machines = machines;
        this.record = record;
    }

    /** Sends an order until it is acknowledged; returns whether that was in time. */
    boolean order(String path, String body, String what, long withinMillis) {
        long endNanos = System.nanoTime() + withinMillis * 1_000_000;
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        int backoffMillis = 50;
        int index = sticky ? 0 : random.nextInt(100);
        while (System.nanoTime() < endNanos) {
            List<Fleet.Machine> known = machines.get();
            Fleet.Machine machine = known.get(index++ % known.size());
            Calls.Answer answer = Calls.call(
                    fleet.control(machine),
                    "POST",
                    path,
                    "Host: " + fleet.control(machine) + "\r\nContent-Type: application/json\r\n",
                    bytes,
                    1_000 + bytes.length / 100);
            if (answer.status() >= 200 && answer.status() < 300) {
                record.line("order " + what + " acknowledged by " + machine.name + " with " + answer.status());
                return true;
            }
            record.line("order " + what + " at " + machine.name + ": " + answer.status() + " "
                    + (answer.status() == 0 ? answer.head() : ""));
            pause(backoffMillis);
            backoffMillis = Math.min(400, backoffMillis * 2);
        }
        return false;
    }

    /** Reads the configuration at one machine. */
    Calls.Answer read(Fleet.Machine machine) {
        return Calls.call(
                fleet.control(machine),
                "GET",
                "/api/Config.Read",
                "Host: " + fleet.control(machine) + "\r\n",
                NOTHING,
                1_500);
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }
}
