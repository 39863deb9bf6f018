package org.bulrushwheel.cli;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import org.bulrushwheel.client.HttpAnswer;
import org.bulrushwheel.client.HttpCaller;
import org.bulrushwheel.local.LocalFleet;
import org.bulrushwheel.logging.LogOutput;
import org.bulrushwheel.logic.settings.SettingsReader;
import org.bulrushwheel.model.settings.FleetSettings;
import org.bulrushwheel.model.settings.ZonePlace;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a small deployment found from seeds through its first steps, so that the build can archive the classes used. */
@Command(
        name = "rehearse",
        mixinStandardHelpOptions = true,
        description = "Start a small deployment on loopback, change its configuration, carry a request, and end.")
final class RehearseCommand implements Callable<Integer> {
    private static final int CONTROLS = 3;
    private static final int TRIES = 100;
    private static final long PAUSE_MILLIS = 100;
    private static final TomlMapper TOML = new TomlMapper();

    /** The document of a rehearsal. */
    record Calls(List<RehearsalCall> calls) {}

    @Option(
            names = "--interfaces",
            defaultValue = "OWN",
            description =
                    "How callers, endpoints and operators are spoken to: ${COMPLETION-CANDIDATES} (${DEFAULT-VALUE}).")
    private FleetOptions.Interfaces interfaces;

    @Option(
            names = "--calls",
            description = "TOML file with the calls (default: those of the project's own interfaces).")
    private @Nullable Path callsPath;

    private final HttpCaller http = new HttpCaller();

    @Override
    public Integer call() throws InterruptedException, IOException {
        LogOutput.ofServingProcess();
        List<RehearsalCall> calls = calls();
        List<ZonePlace> zones = List.of(new ZonePlace("a1", "a"), new ZonePlace("b1", "b"));
        try (LocalFleet fleet = LocalFleet.start(CONTROLS, 2, zones, interfaces.make())) {
            // What a process reads when it starts.
            boolean read = SettingsReader.readFleet(TOML.writeValueAsString(fleet.entrySettings(0)))
                    .exists(settings -> settings instanceof FleetSettings);
            for (RehearsalCall call : calls) {
                if (!eventually(fleet, call)) {
                    return ExitCodes.FAILED;
                }
            }
            return read ? ExitCodes.DONE : ExitCodes.FAILED;
        }
    }

    private List<RehearsalCall> calls() throws IOException {
        if (callsPath != null) {
            return TOML.readValue(Files.readString(callsPath), Calls.class).calls();
        }
        try (InputStream own = RehearseCommand.class.getResourceAsStream("/rehearsal.toml")) {
            return TOML.readValue(own, Calls.class).calls();
        }
    }

    private boolean eventually(LocalFleet fleet, RehearsalCall call) throws InterruptedException {
        String address =
                switch (call.listener()) {
                    case CONTROL -> fleet.controlAddress(0);
                    case LOOKUP -> fleet.lookupAddress(0);
                    case CALLER -> fleet.callerAddress(0);
                };
        byte[] body = filled(fleet, call.body()).getBytes(StandardCharsets.UTF_8);
        for (int tried = 0; tried < TRIES; tried++) {
            HttpAnswer answer = http.call(call.method(), address, filled(fleet, call.path()), Map.of(), body);
            if (answer.status() == call.status()) {
                return true;
            }
            Thread.sleep(PAUSE_MILLIS);
        }
        return false;
    }

    private static String filled(LocalFleet fleet, String text) {
        String entry = fleet.callerAddress(0);
        // Any HTTP server does as an endpoint here: the readiness interface answers every path.
        return text.replace("${host}", entry.substring(0, entry.lastIndexOf(':')))
                .replace("${endpoint}", fleet.readinessAddress(1));
    }
}
