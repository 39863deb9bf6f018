package org.bulrushwheel.daemon;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.bulrushwheel.server.edge.ScriptedEndpoint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Rounds of evacuations while control instances freeze, one at a time. {@code -Dfreezes.seeds=N} runs N seeds.
 */
@Timeout(120)
class FrozenControlTest {
    private static final String ZONE = "b1";
    private static final long START_MILLIS = 60_000;
    private static final int ROUNDS = 2;
    // Bounds of the users: for an evacuation, and for the time after which a disturbed control plane counts as stable.
    private static final long EVACUATION_MILLIS = 5_000;
    private static final long CONTACT_WINDOW_MILLIS = 3_000;
    private static final long OBSERVED_MILLIS = 2_000;
    private static final int ORDER_TIMEOUT_MILLIS = 1_000;

    @TempDir
    private Path folder;

    private ScriptedEndpoint evacuated;
    private ScriptedEndpoint other;
    private FleetProcesses fleet;
    private final AtomicBoolean calling = new AtomicBoolean(true);

    static java.util.stream.LongStream seeds() {
        return java.util.stream.LongStream.rangeClosed(1, Long.getLong("freezes.seeds", 2));
    }

    @BeforeEach
    void start() throws IOException {
        ScriptedEndpoint.Script script = (request, connection) -> connection.send(ScriptedEndpoint.ok(request, "x"));
        evacuated = new ScriptedEndpoint(script);
        other = new ScriptedEndpoint(script);
        fleet = new FleetProcesses(folder);
        fleet.within(START_MILLIS, "no configuration was accepted", () -> fleet.replaceTraffic(0, 1));
        fleet.within(
                START_MILLIS,
                "an endpoint was not registered",
                () -> fleet.announce(0, "e1", evacuated.address(), ZONE, 1));
        fleet.within(
                START_MILLIS,
                "an endpoint was not registered",
                () -> fleet.announce(0, "e2", other.address(), "c1", 1));
        Thread caller = new Thread(() -> {
            for (int request = 0; calling.get(); request++) {
                fleet.call("/read/" + request);
                pause(20);
            }
        });
        caller.setDaemon(true);
        caller.start();
        fleet.within(
                START_MILLIS,
                "the endpoints are not used",
                () -> !evacuated.received().isEmpty() && !other.received().isEmpty());
    }

    @AfterEach
    void close() throws IOException {
        calling.set(false);
        fleet.close();
        evacuated.close();
        other.close();
    }

    /**
     * Guards against evacuations that end though their last acknowledged order began them: an order that its operator has
     * given up reaches a frozen control instance, which wakes after newer orders.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void evacuationHoldsWhileControlInstancesFreeze(long seed) throws Exception {
        Random random = new Random(seed);
        for (int round = 0; round < ROUNDS; round++) {
            order("PUT", random.nextInt(FleetProcesses.CONTROLS));
            pause(random.nextInt(1_000));
            int frozen = random.nextInt(FleetProcesses.CONTROLS);
            fleet.signal(frozen, "STOP");
            pause(random.nextInt(300));
            order("DELETE", frozen);
            pause(random.nextInt(300));
            order("PUT", frozen + random.nextInt(2));
            long acknowledgedNanos = System.nanoTime();
            pause(random.nextInt(1_500));
            fleet.signal(frozen, "CONT");
            long wokenNanos = System.nanoTime();
            sleepUntil(Math.max(
                    acknowledgedNanos + TimeUnit.MILLISECONDS.toNanos(EVACUATION_MILLIS),
                    wokenNanos + TimeUnit.MILLISECONDS.toNanos(CONTACT_WINDOW_MILLIS)));
            int before = evacuated.received().size();
            int servedBefore = other.received().size();
            pause(OBSERVED_MILLIS);
            String context = "seed " + seed + " round " + round + "\n";
            assertEquals(before, evacuated.received().size(), () -> context + fleet.log());
            assertTrue(other.received().size() > servedBefore, () -> context + fleet.log());
            order("DELETE", random.nextInt(FleetProcesses.CONTROLS));
        }
    }

    /** Sends an order as operators do: to the next control instance after a second without an acknowledgement. */
    private void order(String method, int firstControl) {
        for (int attempt = 0; ; attempt++) {
            int control = (firstControl + attempt) % FleetProcesses.CONTROLS;
            if (fleet.order(control, method, DefaultInterfaces.EVACUATIONS + ZONE, ORDER_TIMEOUT_MILLIS)) {
                return;
            }
            pause(100);
        }
    }

    private static void sleepUntil(long targetNanos) {
        pause(TimeUnit.NANOSECONDS.toMillis(targetNanos - System.nanoTime()));
    }

    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
