package org.bulrushwheel.daemon;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import org.bulrushwheel.server.edge.ScriptedEndpoint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Disks of control instances that take no more bytes for a while. The users allow 5 s for an evacuation. */
@Timeout(180)
class FullDiskTest {
    private static final long START_MILLIS = 60_000;
    private static final long EVACUATION_MILLIS = 5_000;
    private static final long ACKNOWLEDGEMENT_MILLIS = 4_000;

    @TempDir
    private Path folder;

    private ScriptedEndpoint endpoint;
    private FleetProcesses fleet;

    @BeforeEach
    void start() throws IOException {
        endpoint = new ScriptedEndpoint((request, connection) -> connection.send(ScriptedEndpoint.ok(request, "x")));
        fleet = new FleetProcesses(folder);
        fleet.within(START_MILLIS, "no configuration was accepted", () -> fleet.replaceTraffic(0, 1));
        fleet.within(
                START_MILLIS,
                "the endpoint was not registered",
                () -> fleet.announce(0, "e1", endpoint.address(), "b1", 1));
        fleet.within(START_MILLIS, "the endpoint is not used", () -> fleet.call("/read/x") == 200);
    }

    @AfterEach
    void close() throws IOException {
        fleet.close();
        endpoint.close();
    }

    /**
     * Guards against entry instances that stay with a control instance which hears the leader but makes no progress: the
     * one of their zone, whose disk is full.
     */
    @Test
    void evacuationReachesEntryInstancesOfAControlInstanceWithAFullDisk() throws IOException, InterruptedException {
        fleet.setDiskFull(0, true);
        // Makes the disk fail before the order.
        fleet.within(
                ACKNOWLEDGEMENT_MILLIS,
                "an announcement was not acknowledged",
                () -> fleet.announce(1, "e2", endpoint.address(), "c1", 1));
        fleet.within(ACKNOWLEDGEMENT_MILLIS, "the evacuation was not acknowledged", () -> fleet.evacuate(1, "b1"));
        fleet.within(ACKNOWLEDGEMENT_MILLIS, "the evacuation was not acknowledged", () -> fleet.evacuate(1, "c1"));
        fleet.within(EVACUATION_MILLIS, "an evacuated zone is still used", () -> fleet.call("/read/x") == 503);
    }

    /** Guards against control instances that do not recover from a full disk. */
    @Test
    void changesAreAcceptedAfterDisksWereFullOneAfterAnother() throws IOException, InterruptedException {
        long version = 1;
        for (int control = 0; control < FleetProcesses.CONTROLS; control++) {
            int other = (control + 1) % FleetProcesses.CONTROLS;
            fleet.setDiskFull(control, true);
            for (int change = 0; change < 3; change++) {
                long next = ++version;
                fleet.within(
                        ACKNOWLEDGEMENT_MILLIS,
                        "no change was accepted beside a full disk",
                        () -> fleet.replaceTraffic(other, next));
                TimeUnit.MILLISECONDS.sleep(700);
            }
            fleet.setDiskFull(control, false);
            TimeUnit.SECONDS.sleep(1);
        }
        for (int control = 0; control < FleetProcesses.CONTROLS; control++) {
            int asked = control;
            long next = ++version;
            fleet.within(ACKNOWLEDGEMENT_MILLIS, "a change was not accepted", () -> fleet.replaceTraffic(asked, next));
            fleet.within(ACKNOWLEDGEMENT_MILLIS, "a change was not read back", () -> fleet.holdsTraffic(asked, next));
        }
    }
}
