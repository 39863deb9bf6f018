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
 * Runs control and entry instances that discover each other through seeds, inside the current process. Each instance has
 * its own loopback address and all use the same ports, as they would on separate machines.
 *
 * <p>Not thread safe: a single thread must start, control and close the fleet.
 */
public final class LocalFleet implements AutoCloseable {
    private static final int SEED_COUNT = 3;
    private static final double LOOPBACK_MEGABITS_PER_SECOND = 10_000;
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

    /**
     * Starts a new fleet; its data is stored in a new temporary folder that {@link #close()} deletes.
     *
     * @param controls number of control instances
     * @param entries number of entry instances
     * @param zones availability zones, to which the instances of each kind are assigned round-robin
     * @param interfaces interfaces of the instances
     */
    public static LocalFleet start(int controls, int entries, List<ZonePlace> zones, FleetInterfaces interfaces) {
        try {
            LocalFleet fleet = new LocalFleet(Files.createTempDirectory("bulrushwheel-"), interfaces);
            for (int index = 0; index < controls; index++) {
                fleet.controlSettings.add(fleet.settings(index, true, zones));
            }
            for (int index = 0; index < entries; index++) {
                fleet.entrySettings.add(fleet.settings(index, false, zones));
            }
            fleet.controlSettings.forEach(instanceSettings -> fleet.controls.add(fleet.control(instanceSettings)));
            fleet.entrySettings.forEach(instanceSettings -> fleet.entries.add(fleet.entry(instanceSettings)));
            return fleet;
        } catch (IOException e) {
            throw new IllegalStateException("cannot create a temporary folder; free disk space and try again", e);
        }
    }

    /** Returns the address on which a control instance serves operators and endpoints. */
    public String controlAddress(int index) {
        return String.valueOf(controlSettings.get(index).controlAddress());
    }

    /** Returns the address on which a control instance serves lookups. */
    public String lookupAddress(int index) {
        return String.valueOf(controlSettings.get(index).lookupAddress());
    }

    /** Returns the address on which an entry instance serves callers. */
    public String callerAddress(int index) {
        return String.valueOf(entrySettings.get(index).callerAddress());
    }

    /** Returns the address on which an entry instance serves readiness checks. */
    public String readinessAddress(int index) {
        return String.valueOf(entrySettings.get(index).readinessAddress());
    }

    /** Returns the address on which a control instance serves metrics. */
    public String controlMetricsAddress(int index) {
        return String.valueOf(controlSettings.get(index).metricsAddress());
    }

    /** Returns the address on which an entry instance serves metrics. */
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

    /** Restarts a stopped control instance, with {@code firstStart} set to false. */
    public void startControlAgain(int index) {
        controls.set(index, control(settingsForRestart(controlSettings.get(index))));
    }

    /** Deletes all stored data of a stopped control instance, as if its disk were lost. */
    public void emptyDisk(int index) {
        deleteRecursively(controlSettings.get(index).dataPath().orElseThrow());
    }

    /** Stops an entry instance in the same way as a termination signal does. */
    public void stopEntry(int index) {
        entries.get(index).close();
    }

    /** Restarts a stopped entry instance, with {@code firstStart} set to false. */
    public void startEntryAgain(int index) {
        entries.set(index, entry(settingsForRestart(entrySettings.get(index))));
    }

    @Override
    public void close() {
        entries.parallelStream().forEach(EdgeDaemon::close);
        controls.parallelStream().forEach(FleetControlDaemon::close);
        deleteRecursively(folder);
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
        for (int seed = 1; seed <= SEED_COUNT; seed++) {
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
                LOOPBACK_MEGABITS_PER_SECOND,
                zones,
                BOUNDS);
    }

    private static FleetSettings settingsForRestart(FleetSettings first) {
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
                first.linkMegabitsPerSecond(),
                first.zones(),
                first.bounds());
    }

    private static void deleteRecursively(Path path) {
        try (java.util.stream.Stream<Path> files = Files.walk(path)) {
            files.sorted(java.util.Comparator.reverseOrder())
                    .forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            throw new IllegalStateException("cannot delete " + path + "; delete it manually", e);
        }
    }
}
