package org.bulrushwheel.local;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.bulrushwheel.client.LoopbackPorts;
import org.bulrushwheel.daemon.EdgeDaemon;
import org.bulrushwheel.daemon.FleetControlDaemon;
import org.bulrushwheel.daemon.FleetInterfaces;
import org.bulrushwheel.daemon.SettingsWatch;
import org.bulrushwheel.model.settings.FleetBounds;
import org.bulrushwheel.model.settings.FleetSettings;
import org.bulrushwheel.model.settings.ZonePlace;

/**
 * Control and entry instances that find each other from seeds, in this process: each has a loopback address of its own
 * and all have the same ports, as on machines.
 *
 * <p>Not thread safe: one thread sets it up and takes it down.
 */
public final class LocalFleet implements AutoCloseable {
    private static final int SEEDS = 3;
    private static final FleetBounds BOUNDS = new FleetBounds(3, 10, 0.2, 100, 1.5, 5, 1, 1);

    private final Path folder;
    private final FleetInterfaces interfaces;
    private final List<Integer> ports = LoopbackPorts.free(6);
    private final List<FleetSettings> controlSettings = new ArrayList<>();
    private final List<FleetSettings> entrySettings = new ArrayList<>();
    private final List<FleetControlDaemon> controls = new ArrayList<>();
    private final List<EdgeDaemon> entries = new ArrayList<>();

    private LocalFleet(Path folder, FleetInterfaces interfaces) {
        this.folder = folder;
        this.interfaces = interfaces;
    }

    /** Starts instances for the first time, with their data in a new temporary folder; zones take turns. */
    public static LocalFleet start(int controls, int entries, List<ZonePlace> zones, FleetInterfaces interfaces) {
        try {
            LocalFleet fleet = new LocalFleet(Files.createTempDirectory("bulrushwheel-"), interfaces);
            for (int index = 0; index < controls; index++) {
                fleet.controlSettings.add(fleet.settings(index, true, zones));
            }
            for (int index = 0; index < entries; index++) {
                fleet.entrySettings.add(fleet.settings(index, false, zones));
            }
            fleet.controlSettings.forEach(each -> fleet.controls.add(fleet.control(each)));
            fleet.entrySettings.forEach(each -> fleet.entries.add(fleet.entry(each)));
            return fleet;
        } catch (IOException e) {
            throw new IllegalStateException("cannot make a temporary folder; free space and try again", e);
        }
    }

    /** Returns the address for operators and endpoints of a control instance. */
    public String controlAddress(int index) {
        return String.valueOf(controlSettings.get(index).controlAddress());
    }

    /** Returns the address for look-ups of a control instance. */
    public String lookupAddress(int index) {
        return String.valueOf(controlSettings.get(index).lookupAddress());
    }

    /** Returns the address for callers of an entry instance. */
    public String callerAddress(int index) {
        return String.valueOf(entrySettings.get(index).callerAddress());
    }

    /** Returns the address for readiness checks of an entry instance. */
    public String readinessAddress(int index) {
        return String.valueOf(entrySettings.get(index).readinessAddress());
    }

    /** Returns the address for metrics of a control instance. */
    public String controlMetricsAddress(int index) {
        return String.valueOf(controlSettings.get(index).metricsAddress());
    }

    /** Returns the address for metrics of an entry instance. */
    public String entryMetricsAddress(int index) {
        return String.valueOf(entrySettings.get(index).metricsAddress());
    }

    /** Returns the settings of an entry instance. */
    public FleetSettings entrySettings(int index) {
        return entrySettings.get(index);
    }

    /** Stops a control instance. */
    public void stopControl(int index) {
        controls.get(index).close();
    }

    /** Starts a stopped control instance again, not for the first time. */
    public void startControlAgain(int index) {
        controls.set(index, control(again(controlSettings.get(index))));
    }

    /** Takes all that a stopped control instance has on its disk. */
    public void emptyDisk(int index) {
        deleteAll(controlSettings.get(index).dataPath().orElseThrow());
    }

    /** Stops an entry instance as the signal to stop does. */
    public void stopEntry(int index) {
        entries.get(index).close();
    }

    /** Starts a stopped entry instance again. */
    public void startEntryAgain(int index) {
        entries.set(index, entry(again(entrySettings.get(index))));
    }

    @Override
    public void close() {
        entries.parallelStream().forEach(EdgeDaemon::close);
        controls.parallelStream().forEach(FleetControlDaemon::close);
        deleteAll(folder);
    }

    private FleetControlDaemon control(FleetSettings settings) {
        FleetControlDaemon daemon = new FleetControlDaemon(settings, watch(settings), interfaces);
        daemon.start();
        return daemon;
    }

    private EdgeDaemon entry(FleetSettings settings) {
        EdgeDaemon daemon = new EdgeDaemon(settings, watch(settings), interfaces);
        daemon.start();
        return daemon;
    }

    private SettingsWatch watch(FleetSettings settings) {
        return new SettingsWatch(folder.resolve(settings.instance()), "", settings);
    }

    private FleetSettings settings(int index, boolean control, List<ZonePlace> zones) {
        ZonePlace place = zones.get(index % zones.size());
        String ip = (control ? "127.0.1." : "127.0.2.") + (index + 1);
        String name = (control ? "control-" : "entry-") + (index + 1);
        List<String> seeds = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            seeds.add("127.0.1." + seed + ":" + ports.get(1));
        }
        return new FleetSettings(
                name,
                place.zone(),
                place.region(),
                ip + ":" + ports.get(0),
                control ? null : ip + ":" + ports.get(3),
                control ? null : ip + ":" + ports.get(4),
                control ? ip + ":" + ports.get(1) : null,
                control ? ip + ":" + ports.get(2) : null,
                ip + ":" + ports.get(5),
                seeds,
                control ? folder.resolve(name).toString() : null,
                true,
                zones,
                BOUNDS);
    }

    private static FleetSettings again(FleetSettings first) {
        return new FleetSettings(
                first.instance(),
                first.zone(),
                first.region(),
                first.peerAddress(),
                first.callerAddress(),
                first.readinessAddress(),
                first.controlAddress(),
                first.lookupAddress(),
                first.metricsAddress(),
                first.seeds(),
                first.dataFolder(),
                false,
                first.zones(),
                first.bounds());
    }

    private static void deleteAll(Path path) {
        try (java.util.stream.Stream<Path> files = Files.walk(path)) {
            files.sorted(java.util.Comparator.reverseOrder())
                    .forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            throw new IllegalStateException("cannot delete " + path + "; delete it by hand", e);
        }
    }
}
