package org.bulrushwheel.daemon;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.bulrushwheel.client.HttpAnswer;
import org.bulrushwheel.client.HttpCaller;
import org.bulrushwheel.local.TestConfigurations;
import org.bulrushwheel.standin.Announcer;
import org.bulrushwheel.standin.RunCounter;
import org.bulrushwheel.standin.StandInBehaviour;
import org.bulrushwheel.standin.StandInUpstream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Kills, stops and restarts daemons that run as separate processes. */
class ProcessRecoveryTest {
    private static final String DOCUMENT = TestConfigurations.document();

    @TempDir
    private Path folder;

    private final RunCounter runs = new RunCounter();
    private DaemonProcesses daemons;
    private StandInUpstream upstream;
    private Announcer announcer;

    @BeforeEach
    void start() throws IOException {
        daemons = new DaemonProcesses(folder);
        assertTrue(daemons.await(() -> daemons.accept(0, 0, "first", DOCUMENT).isOk()));
        upstream = new StandInUpstream(StandInBehaviour.plain("casedesk", "e1", "local-a", 16, 0), 0, runs, () -> {})
                .start();
        announcer = new Announcer(upstream, List.of(daemons.address(0)), new HttpCaller()).start();
        assertTrue(daemons.await(() -> get(0).status() == 200));
    }

    @AfterEach
    void stop() {
        announcer.close();
        upstream.close();
        daemons.close();
    }

    @Test
    void serviceContinuesWithoutAKilledReplicaWhichCatchesUpAfterRestart() throws Exception {
        daemons.kill(1);
        assertTrue(daemons.await(() -> daemons.accept(0, 1, "second", DOCUMENT).isOk()));
        assertEquals(200, get(0).status());
        assertEquals(200, refund(0, "k1").status());
        daemons.start(1);

        assertTrue(daemons.await(() -> daemons.version(1) == 2));
        assertEquals(200, refund(0, "k1").status());
        assertEquals(1, runs.runsOf("k1"));
    }

    @Test
    void configurationAndKeysSurviveTheKillOfAllProcesses() throws Exception {
        assertTrue(daemons.accept(0, 1, "second", DOCUMENT).isOk());
        HttpAnswer first = refund(0, "k2");
        assertEquals(200, first.status(), first.text());
        for (int index = 0; index < DaemonProcesses.NAMES.size(); index++) {
            daemons.kill(index);
        }
        for (int index = 0; index < DaemonProcesses.NAMES.size(); index++) {
            daemons.start(index);
        }
        for (int index = 0; index < DaemonProcesses.NAMES.size(); index++) {
            int instance = index;
            assertTrue(daemons.await(() -> daemons.version(instance) == 2), "instance " + instance);
        }
        assertTrue(daemons.await(() -> refund(0, "k2").status() == 200));
        assertEquals(1, runs.runsOf("k2"));
    }

    @Test
    void instanceKilledDuringARequestLeavesAnUnknownOutcomeAndNoSecondRun() throws Exception {
        CompletableFuture<HttpAnswer> interruptedCall = CompletableFuture.supplyAsync(
                () -> daemons.call(0, "POST", "/refunds?delayMillis=4000", Map.of("Idempotency-Key", "k3")));
        assertTrue(daemons.await(() -> runs.runsOf("k3") == 1));
        daemons.kill(0);
        interruptedCall.get();
        daemons.start(0);

        for (int instance : new int[] {0, 1}) {
            assertTrue(daemons.await(
                    () -> daemons.call(instance, "POST", "/refunds?delayMillis=4000", Map.of("Idempotency-Key", "k3"))
                            .header("Bulrushwheel-Refusal")
                            .orElse("")
                            .equals("outcome-unknown")));
        }
        assertEquals(1, runs.runsOf("k3"));
    }

    @Test
    void withoutAQuorumOnlyRequestsThatNeedItAreRefused() throws Exception {
        daemons.kill(1);
        daemons.kill(2);

        assertTrue(daemons.await(
                () -> refund(0, "k4").header("Bulrushwheel-Refusal").orElse("").equals("ledger-unavailable")));
        assertEquals("not-run", refund(0, "k4").header("Bulrushwheel-Run-State").orElse(""));
        assertEquals(200, get(0).status());
        assertEquals(0, runs.runsOf("k4"));
    }

    @Test
    void gracefulStopCompletesRequestsInFlight() throws Exception {
        CompletableFuture<HttpAnswer> inFlight =
                CompletableFuture.supplyAsync(() -> daemons.call(0, "GET", "/items?delayMillis=3000", Map.of()));
        assertTrue(daemons.await(() -> upstream.maxInFlight() >= 1));
        Process stopping = daemons.terminate(0);

        assertEquals(200, inFlight.get().status());
        assertEquals(200, get(0).status(), "look-up answers that name the instance have not expired yet");
        assertTrue(daemons.await(() -> !stopping.isAlive()));
    }

    private HttpAnswer get(int index) {
        return daemons.call(index, "GET", "/items", Map.of());
    }

    private HttpAnswer refund(int index, String key) {
        return daemons.call(index, "POST", "/refunds", Map.of("Idempotency-Key", key));
    }
}
