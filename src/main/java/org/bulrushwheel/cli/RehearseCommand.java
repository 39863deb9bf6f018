package org.bulrushwheel.cli;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;

import org.bulrushwheel.client.HttpAnswer;
import org.bulrushwheel.client.HttpCaller;
import org.bulrushwheel.daemon.DefaultInterfaces;
import org.bulrushwheel.local.LocalFleet;
import org.bulrushwheel.model.settings.ZonePlace;
import picocli.CommandLine.Command;

/** Runs a small deployment found from seeds through its first steps, so that the build can archive the classes used. */
@Command(
        name = "rehearse",
        mixinStandardHelpOptions = true,
        description = "Start a small deployment on loopback, change its configuration, carry a request, and end.")
final class RehearseCommand implements Callable<Integer> {
    private static final int CONTROLS = 3;
    private static final int TRIES = 100;
    private static final long PAUSE_MILLIS = 100;
    private static final String TRAFFIC =
            """
            {"version": 1, "routes": [{"name": "r", "host": "%s", "pathPrefix": "/", "kind": "REPEATABLE",
             "timeoutMillis": 500, "targetLatencyMillis": 500, "priority": 1,
             "split": [{"service": "desk", "weight": 1}], "maxAttempts": 2, "affinity": true, "homeRegions": []}],
             "services": [{"name": "desk", "healthPath": "/", "maxConnections": 9, "coldStartMillis": 0,
             "coldRequestsPerSecond": 9}], "limits": {"maxHeaderBytes": 4096, "maxBodyBytes": 1000,
             "headerTimeoutMillis": 3000, "idleTimeoutMillis": 15000}}
            """;
    private static final String ENDPOINT =
            """
            {"service": "desk", "address": "%s", "zone": "a1", "slots": 3, "draining": false, "bornEpochMillis": 5,
             "sequence": 1, "coldRemainingMillis": 0}
            """;

    private final HttpCaller http = new HttpCaller();

    @Override
    public Integer call() throws InterruptedException {
        List<ZonePlace> zones = List.of(new ZonePlace("a1", "a"), new ZonePlace("b1", "b"));
        try (LocalFleet fleet = LocalFleet.start(CONTROLS, 2, zones, new DefaultInterfaces())) {
            String control = fleet.controlAddress(0);
            String entry = fleet.callerAddress(0);
            String host = entry.substring(0, entry.lastIndexOf(':'));
            boolean accepted = eventually("PUT", control, DefaultInterfaces.TRAFFIC, TRAFFIC.formatted(host));
            // Any HTTP server does as an endpoint here: the readiness interface answers every path.
            boolean announced = eventually(
                    "PUT", control, DefaultInterfaces.ENDPOINTS + "e1", ENDPOINT.formatted(fleet.readinessAddress(1)));
            boolean carried = eventually("GET", entry, DefaultInterfaces.READY, "");
            return accepted && announced && carried ? ExitCodes.DONE : ExitCodes.FAILED;
        }
    }

    private boolean eventually(String method, String address, String path, String body) throws InterruptedException {
        for (int tried = 0; tried < TRIES; tried++) {
            HttpAnswer answer = http.call(method, address, path, Map.of(), body.getBytes(StandardCharsets.UTF_8));
            if (answer.isOk()) {
                return true;
            }
            Thread.sleep(PAUSE_MILLIS);
        }
        return false;
    }
}
