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
 * Daemons and stand-in upstreams in this process.
 *
 * <p>Not thread safe: one thread sets it up and takes it down.
 */
public final class LocalDeployment implements AutoCloseable {
    private static final int IO_THREADS = 2;
    private static final long SETTLE_MILLIS = 1;

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
        this.settings = settingsOf(plans);
    }

    /**
     * One instance to start.
     *
     * @param name name
     * @param zone availability zone
     * @param region region of the zone
     * @param control whether it holds a control replica
     */
    public record InstancePlan(String name, String zone, String region, boolean control) {}

    /** Starts the instances with their data in a new temporary folder. */
    public static LocalDeployment start(List<InstancePlan> plans) {
        try {
            LocalDeployment deployment = new LocalDeployment(Files.createTempDirectory("bulrushwheel-"), plans);
            deployment.bootstrap(plans);
            deployment.settings.forEach(each -> deployment.daemons.add(new Daemon(each, IO_THREADS)));
            deployment.daemons.forEach(Daemon::start);
            return deployment;
        } catch (IOException e) {
            throw new IllegalStateException("cannot make a temporary folder; free space and try again", e);
        }
    }

    /** Returns the daemons in the order of their plans. */
    public List<Daemon> daemons() {
        return List.copyOf(daemons);
    }

    /** Returns the stand-ins. */
    public List<StandInUpstream> upstreams() {
        return List.copyOf(upstreams);
    }

    /** Returns the announcers, in the order of the stand-ins. */
    public List<Announcer> announcers() {
        return List.copyOf(announcers);
    }

    /** Returns the runs by key, over all stand-ins. */
    public RunCounter runs() {
        return runs;
    }

    /** Returns the bearer token of the first operator. */
    public String token() {
        return token;
    }

    /** Returns the HTTP address of an instance. */
    public String httpAddress(int index) {
        return settings.get(index).httpAddress();
    }

    /** Stops the daemon at this position and starts it again. */
    public void restart(int index) {
        kill(index);
        startAgain(index);
    }

    /** Stops the daemon at this position; nobody is told. */
    public void kill(int index) {
        daemons.get(index).close();
        killed.add(index);
    }

    /** Starts the daemon at this position again. */
    public void startAgain(int index) {
        daemons.set(index, new Daemon(settings.get(index), IO_THREADS));
        daemons.get(index).start();
        killed.remove(index);
    }

    /** Starts a stand-in that announces itself to the instances of its zone. */
    public StandInUpstream addUpstream(StandInBehaviour behaviour) {
        StandInUpstream upstream = new StandInUpstream(behaviour, 0, runs, () -> {}).start();
        upstreams.add(upstream);
        List<String> entries = settings.stream()
                .filter(each -> each.zone().equals(behaviour.zone()))
                .map(Settings::httpAddress)
                .toList();
        announcers.add(new Announcer(upstream, entries, http).start());
        return upstream;
    }

    /** Accepts a document through an instance. */
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

    /** Waits until a version is in force on every instance; false when it is not by the deadline. */
    public boolean awaitVersion(long version, long deadlineNanos) {
        return IntStream.range(0, daemons.size())
                .filter(index -> !killed.contains(index))
                .mapToObj(daemons::get)
                .allMatch(daemon -> await(() -> daemon.configurationVersion() >= version, deadlineNanos));
    }

    /** Waits until a condition holds; false when it does not by the deadline. */
    public static boolean await(java.util.function.BooleanSupplier condition, long deadlineNanos) {
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadlineNanos > 0) {
                return false;
            }
            try {
                Thread.sleep(SETTLE_MILLIS);
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
        settings.forEach(
                each -> each.dataPath().ifPresent(data -> ControlService.bootstrap(data, each.instance(), voters)));
    }

    private List<Settings> settingsOf(List<InstancePlan> plans) {
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
        return instances.stream().map(self -> settingsOf(self, instances)).toList();
    }

    private Settings settingsOf(Instance self, List<Instance> instances) {
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
            throw new IllegalStateException("cannot remove " + folder + "; remove it by hand", e);
        }
    }
}
