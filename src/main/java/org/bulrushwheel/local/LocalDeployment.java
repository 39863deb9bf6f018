package org.bulrushwheel.local;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.bulrushwheel.client.HttpAnswer;
import org.bulrushwheel.client.HttpCaller;
import org.bulrushwheel.client.LoopbackPorts;
import org.bulrushwheel.control.ControlService;
import org.bulrushwheel.daemon.Daemon;
import org.bulrushwheel.model.instance.Instance;
import org.bulrushwheel.model.settings.Settings;
import org.bulrushwheel.server.admin.AdminHandler;
import org.bulrushwheel.server.admin.Tokens;
import org.bulrushwheel.standin.Announcer;
import org.bulrushwheel.standin.RunCounter;
import org.bulrushwheel.standin.StandInBehaviour;
import org.bulrushwheel.standin.StandInUpstream;

/**
 * Runs the daemons of a deployment and stand-in upstreams inside the current process, on loopback ports.
 *
 * <p>Not thread safe: a single thread must start, control and close the deployment.
 */
public final class LocalDeployment implements AutoCloseable {
    private static final int IO_THREADS = 2;
    private static final long POLL_INTERVAL_MILLIS = 1;

    private final Path folder;
    private final String token = Tokens.generate();
    private final HttpCaller http = new HttpCaller();
    private final List<Settings> settings;
    private final List<Daemon> daemons = new ArrayList<>();
    private final List<StandInUpstream> upstreams = new ArrayList<>();
    private final List<Announcer> announcers = new ArrayList<>();
    private final RunCounter runs = new RunCounter();
    private final Set<Integer> killed = new HashSet<>();

    private LocalDeployment(Path folder, List<InstancePlan> plans) {
        this.folder = folder;
        this.settings = createSettings(plans);
    }

    /**
     * Describes an instance to start.
     *
     * @param name name of the instance
     * @param zone availability zone
     * @param region region of the zone
     * @param control whether the instance runs a control replica
     */
    public record InstancePlan(String name, String zone, String region, boolean control) {}

    /** Starts the instances; their data is stored in a new temporary folder that {@link #close()} deletes. */
    public static LocalDeployment start(List<InstancePlan> plans) {
        try {
            LocalDeployment deployment = new LocalDeployment(Files.createTempDirectory("bulrushwheel-"), plans);
            deployment.bootstrap(plans);
            deployment.settings.forEach(
                    instanceSettings -> deployment.daemons.add(new Daemon(instanceSettings, IO_THREADS)));
            deployment.daemons.forEach(Daemon::start);
            return deployment;
        } catch (IOException e) {
            throw new IllegalStateException("cannot create a temporary folder; free disk space and try again", e);
        }
    }

    /** Returns the daemons in the order of their plans. */
    public List<Daemon> daemons() {
        return List.copyOf(daemons);
    }

    /** Returns the stand-in upstreams in the order in which they were added. */
    public List<StandInUpstream> upstreams() {
        return List.copyOf(upstreams);
    }

    /** Returns the announcers, in the order of {@link #upstreams()}. */
    public List<Announcer> announcers() {
        return List.copyOf(announcers);
    }

    /** Returns the counter of executions by idempotency key, shared by all stand-in upstreams. */
    public RunCounter runs() {
        return runs;
    }

    /** Returns the bearer token of the first operator. */
    public String token() {
        return token;
    }

    /** Returns the HTTP address (IP:PORT) of the instance at this position. */
    public String httpAddress(int index) {
        return settings.get(index).httpAddress();
    }

    /** Stops the daemon at this position and starts a new one with the same settings and data. */
    public void restart(int index) {
        kill(index);
        startAgain(index);
    }

    /** Stops the daemon at this position without notifying the other instances. */
    public void kill(int index) {
        daemons.get(index).close();
        killed.add(index);
    }

    /** Starts a new daemon with the settings and data of the stopped one at this position. */
    public void startAgain(int index) {
        daemons.set(index, new Daemon(settings.get(index), IO_THREADS));
        daemons.get(index).start();
        killed.remove(index);
    }

    /** Starts a stand-in upstream and an announcer that registers it with the instances of its zone. */
    public StandInUpstream addUpstream(StandInBehaviour behaviour) {
        StandInUpstream upstream = new StandInUpstream(behaviour, 0, runs, () -> {}).start();
        upstreams.add(upstream);
        List<String> entries = settings.stream()
                .filter(instanceSettings -> instanceSettings.zone().equals(behaviour.zone()))
                .map(Settings::httpAddress)
                .toList();
        announcers.add(new Announcer(upstream, entries, http).start());
        return upstream;
    }

    /**
     * Submits a configuration document for acceptance.
     *
     * @param index position of the instance that receives the request
     * @param expectedVersion version of the configuration that the document replaces
     * @param changeId identifier of the change
     * @param document configuration document
     */
    public HttpAnswer accept(int index, long expectedVersion, String changeId, String document) {
        return http.call(
                "POST",
                httpAddress(index),
                AdminHandler.CONFIGURATION_PATH,
                Map.of(
                        "Authorization",
                        "Bearer " + token,
                        AdminHandler.EXPECTED_VERSION.toString(),
                        Long.toString(expectedVersion),
                        AdminHandler.CHANGE_ID.toString(),
                        changeId),
                document.getBytes(java.nio.charset.StandardCharsets.UTF_8));
    }

    /**
     * Waits until every running instance uses at least this configuration version.
     *
     * @param version configuration version
     * @param deadlineNanos deadline on the clock of {@link System#nanoTime()}
     * @return whether all running instances reached the version before the deadline
     */
    public boolean awaitVersion(long version, long deadlineNanos) {
        return IntStream.range(0, daemons.size())
                .filter(index -> !killed.contains(index))
                .mapToObj(daemons::get)
                .allMatch(daemon -> await(() -> daemon.configurationVersion() >= version, deadlineNanos));
    }

    /**
     * Polls a condition until it holds.
     *
     * @param condition condition to wait for
     * @param deadlineNanos deadline on the clock of {@link System#nanoTime()}
     * @return true if the condition held, false if the deadline passed or the thread was interrupted
     */
    public static boolean await(java.util.function.BooleanSupplier condition, long deadlineNanos) {
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadlineNanos > 0) {
                return false;
            }
            try {
                Thread.sleep(POLL_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return true;
    }

    @Override
    public void close() {
        announcers.forEach(Announcer::close);
        for (int index = 0; index < daemons.size(); index++) {
            if (!killed.contains(index)) {
                daemons.get(index).close();
            }
        }
        upstreams.forEach(StandInUpstream::close);
        deleteFolder();
    }

    private void bootstrap(List<InstancePlan> plans) {
        List<String> voters = plans.stream()
                .filter(InstancePlan::control)
                .map(InstancePlan::name)
                .toList();
        settings.forEach(instanceSettings -> instanceSettings
                .dataPath()
                .ifPresent(data -> ControlService.bootstrap(data, instanceSettings.instance(), voters)));
    }

    private List<Settings> createSettings(List<InstancePlan> plans) {
        List<Integer> ports = LoopbackPorts.free(2 * plans.size());
        List<Instance> instances = new ArrayList<>();
        for (int index = 0; index < plans.size(); index++) {
            InstancePlan plan = plans.get(index);
            instances.add(new Instance(
                    plan.name(),
                    plan.zone(),
                    plan.region(),
                    "127.0.0.1:" + ports.get(2 * index),
                    "127.0.0.1:" + ports.get(2 * index + 1),
                    plan.control()));
        }
        return instances.stream().map(self -> createSettings(self, instances)).toList();
    }

    private Settings createSettings(Instance self, List<Instance> instances) {
        return new Settings(
                self.name(),
                self.zone(),
                self.region(),
                self.httpAddress(),
                self.peerAddress(),
                self.control() ? folder.resolve(self.name()).toString() : null,
                Tokens.sha256(token),
                null,
                instances.stream().filter(other -> !other.equals(self)).toList());
    }

    private void deleteFolder() {
        try (Stream<Path> paths = Files.walk(folder)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        } catch (IOException e) {
            throw new IllegalStateException("cannot delete " + folder + "; delete it manually", e);
        }
    }
}
