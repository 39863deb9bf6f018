package org.bulrushwheel.server.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

import org.bulrushwheel.client.HttpAnswer;
import org.bulrushwheel.client.HttpCaller;
import org.bulrushwheel.daemon.DefaultInterfaces;
import org.bulrushwheel.local.LocalFleet;
import org.bulrushwheel.model.instance.Address;
import org.bulrushwheel.model.settings.ZonePlace;
import org.bulrushwheel.server.edge.ScriptedEndpoint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Runs four control and two entry instances with three seeds and uses them through their HTTP interfaces. */
@Timeout(120)
class LocalFleetTest {
    private static final List<ZonePlace> ZONES =
            List.of(new ZonePlace("a1", "a"), new ZonePlace("b1", "b"), new ZonePlace("c1", "c"));
    private static final String UNREACHABLE_ADDRESS = "127.0.0.1:1";

    private final HttpCaller http = new HttpCaller();
    private final LocalFleet fleet = LocalFleet.start(4, 2, ZONES, new DefaultInterfaces());

    @AfterEach
    void close() {
        fleet.close();
    }

    private static String traffic(long version, String prefix) {
        return """
                {"version": %d, "routes": [{"name": "r", "host": "host.example", "pathPrefix": "%s",
                 "kind": "REPEATABLE", "timeoutMillis": 500, "targetLatencyMillis": 500, "priority": 1,
                 "split": [{"service": "desk", "weight": 1}], "maxAttempts": 2, "affinity": true, "homeRegions": []}],
                 "services": [{"name": "desk", "healthPath": "/", "maxConnections": 9, "coldStartMillis": 0,
                 "coldRequestsPerSecond": 9}], "limits": {"maxHeaderBytes": 4096, "maxBodyBytes": 1000,
                 "headerTimeoutMillis": 3000, "idleTimeoutMillis": 15000}}
                """
                .formatted(version, prefix);
    }

    private HttpAnswer put(int control, String path, String body) {
        return http.call("PUT", fleet.controlAddress(control), path, Map.of(), body.getBytes(StandardCharsets.UTF_8));
    }

    private boolean accepted(int control, String document) {
        return put(control, DefaultInterfaces.TRAFFIC, document).status() == 200;
    }

    private HttpAnswer read(int control) {
        return http.get(fleet.controlAddress(control), DefaultInterfaces.TRAFFIC);
    }

    private int delete(int control, String path) {
        return http.call("DELETE", fleet.controlAddress(control), path, Map.of(), new byte[0])
                .status();
    }

    private static void eventually(String failureMessage, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + 30_000_000_000L;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() - deadlineNanos < 0, failureMessage);
            try {
                Thread.sleep(50);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Test
    void acceptedConfigurationIsReadBackUnchangedAndNeverReplacedByAnOlderOne() {
        String newest = traffic(7, "/new/");
        eventually("no configuration was accepted", () -> accepted(3, newest));
        assertEquals(200, put(0, DefaultInterfaces.TRAFFIC, traffic(5, "/old/")).status());
        assertEquals(
                200, put(1, DefaultInterfaces.TRAFFIC, traffic(7, "/other/")).status());
        assertEquals(
                400, put(1, DefaultInterfaces.TRAFFIC, newest.substring(0, 99)).status());
        assertEquals(
                400, put(2, DefaultInterfaces.TRAFFIC, traffic(9, "no-slash/")).status());
        for (int control = 0; control < 4; control++) {
            int asked = control;
            eventually("no read was answered", () -> read(asked).status() == 200);
            assertEquals(newest, read(control).text());
            // Its operator may not have seen the acknowledgement.
            assertEquals(200, put(control, DefaultInterfaces.TRAFFIC, newest).status());
        }
        eventually(
                "an entry instance is not ready",
                () -> http.get(fleet.readinessAddress(0), DefaultInterfaces.READY)
                                .status()
                        == 200);
    }

    @Test
    void replicaWithLostDiskCatchesUpBeforeItVotes() {
        eventually("no configuration was accepted", () -> accepted(0, traffic(1, "/first/")));
        fleet.stopControl(0);
        fleet.emptyDisk(0);
        eventually("no configuration was accepted without one seed", () -> accepted(1, traffic(2, "/second/")));
        fleet.startControlAgain(0);
        eventually("the replica with the empty disk does not answer", () -> read(0).status() == 200);
        assertEquals(traffic(2, "/second/"), read(0).text());
    }

    /** Uses documents of 200 KB so that the log is compacted into a snapshot while a replica is down. */
    @Test
    void replicaThatMissedManyLargeChangesCatchesUp() {
        eventually("no configuration was accepted", () -> accepted(0, traffic(1, "/first/")));
        fleet.stopControl(3);
        String filler = " ".repeat(200_000);
        for (long version = 2; version <= 40; version++) {
            String document = traffic(version, "/v" + version + "/") + filler;
            eventually("a configuration was not accepted", () -> accepted(0, document));
        }
        fleet.startControlAgain(3);
        fleet.stopControl(1);
        String last = traffic(41, "/last/");
        eventually("the restarted replica does not accept a configuration", () -> accepted(3, last));
        eventually("no read was answered", () -> read(3).status() == 200);
        assertEquals(last, read(3).text());
    }

    @Test
    void metricsReportTheViewAgeOfAnEntryInstanceAndContactWithALeader() {
        eventually(
                "metrics report no leader or no recent view",
                () -> metrics(fleet.entryMetricsAddress(0)).matches("(?s).*bulrushwheel_view_age_millis \\d{1,3}\\n.*")
                        && metrics(fleet.controlMetricsAddress(0)).contains("bulrushwheel_control_hears_leader 1\n"));
    }

    private String metrics(String address) {
        return http.get(address, "/metrics").text();
    }

    @Test
    void lookUpListsEntryInstancesUntilTheyLeave() {
        eventually("no configuration was accepted", () -> accepted(0, traffic(1, "/first/")));
        String path = DefaultInterfaces.ENTRIES + "?zone=a1&region=a";
        eventually(
                "the look-up does not list a serving entry instance",
                () -> http.get(fleet.lookupAddress(2), path).text().contains(fleet.callerAddress(0)));
        fleet.stopEntry(0);
        eventually(
                "the look-up still lists an entry instance that has left",
                () -> !http.get(fleet.lookupAddress(2), path).text().contains(fleet.callerAddress(0)));
        fleet.startEntryAgain(0);
        eventually(
                "the look-up does not list a restarted entry instance",
                () -> http.get(fleet.lookupAddress(2), path).text().contains(fleet.callerAddress(0)));
    }

    @Test
    void leaveOfAnEndpointIsAcknowledgedByAnyControlInstance() {
        String record =
                """
                {"service": "desk", "address": "%s", "zone": "a1", "slots": 3, "draining": %s, "bornEpochMillis": 5,
                 "sequence": %d, "coldRemainingMillis": 0}
                """;
        String path = DefaultInterfaces.ENDPOINTS + "e1";
        eventually(
                "an endpoint was not registered",
                () -> put(0, path, record.formatted(UNREACHABLE_ADDRESS, "false", 1))
                                .status()
                        == 200);
        eventually(
                "a drain was not acknowledged",
                () -> put(3, path, record.formatted(UNREACHABLE_ADDRESS, "true", 2))
                                .status()
                        == 200);
        assertEquals(400, put(1, path, "{\"service\": 5").status());
        assertEquals(400, put(1, path, record.formatted("nowhere", "false", 3)).status());
        assertEquals(
                400,
                put(1, path, record.formatted("127.0.0.1:80800", "false", 3)).status());
        assertEquals(400, put(1, path, "{\"service\": \"desk\", \"slots\": 3}").status());
        assertEquals(405, http.get(fleet.controlAddress(1), path).status());
        assertEquals(
                405,
                http.get(fleet.controlAddress(1), DefaultInterfaces.EVACUATIONS + "a1")
                        .status());
        eventually("a leave was not acknowledged", () -> delete(1, path) == 200);
        eventually("a repeated leave was not acknowledged", () -> delete(2, path) == 200);
    }

    /**
     * Guards against orders that are carried out for an operator who has given them up: a control instance that wakes
     * after a freeze finds the order and the end of its connection together.
     */
    @Test
    void orderOfAnOperatorWhoHasLeftIsNotCarriedOut() throws IOException {
        ScriptedEndpoint.Script script = (request, connection) -> connection.send(ScriptedEndpoint.ok(request, "x"));
        try (ScriptedEndpoint one = new ScriptedEndpoint(script);
                ScriptedEndpoint other = new ScriptedEndpoint(script)) {
            eventually("no configuration was accepted", () -> accepted(0, traffic(1, "/read/")));
            announce("e1", one.address(), "a1");
            eventually("the endpoint is not used", () -> call() == 200);
            evacuate(0, "a1");
            eventually("the zone is not evacuated", () -> call() == 503);
            for (int control = 0; control < 4; control++) {
                sendAndLeave(control, "DELETE " + DefaultInterfaces.EVACUATIONS + "a1 HTTP/1.1\r\nHost: c\r\n\r\n");
            }
            // Once this endpoint was used and its zone is evacuated, the view is newer than the orders before.
            announce("e2", other.address(), "b1");
            eventually("the other endpoint is not used", () -> call() == 200);
            evacuate(0, "b1");
            eventually("the evacuation was ended by an operator who had left", () -> call() == 503);
        }
    }

    private void announce(String id, String address, String zone) {
        String record =
                """
                {"service": "desk", "address": "%s", "zone": "%s", "slots": 3, "draining": false, "bornEpochMillis": 5,
                 "sequence": 1, "coldRemainingMillis": 0}
                """
                        .formatted(address, zone);
        eventually(
                "an endpoint was not registered",
                () -> put(0, DefaultInterfaces.ENDPOINTS + id, record).status() == 200);
    }

    private void evacuate(int control, String zone) {
        eventually(
                "an evacuation was not acknowledged",
                () -> put(control, DefaultInterfaces.EVACUATIONS + zone, "").status() == 200);
    }

    private int call() {
        Address address = Address.parse(fleet.callerAddress(0));
        try (Socket socket = new Socket(address.host(), address.port())) {
            socket.getOutputStream()
                    .write("GET /read/x HTTP/1.1\r\nHost: host.example\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            return Integer.parseInt(answer.split(" ")[1]);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void sendAndLeave(int control, String request) throws IOException {
        Address address = Address.parse(fleet.controlAddress(control));
        try (Socket socket = new Socket(address.host(), address.port())) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        }
    }
}
