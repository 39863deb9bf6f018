package org.bulrushwheel.server.configuration;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.bulrushwheel.kernel.KernelService;
import org.bulrushwheel.kernel.ServiceTimer;
import org.bulrushwheel.logic.config.ConfigurationInForce;
import org.bulrushwheel.logic.membership.RendezvousHash;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.config.VersionedConfiguration;
import org.bulrushwheel.model.instance.Instance;
import org.bulrushwheel.model.proto.ConfigurationFetch;
import org.bulrushwheel.model.proto.ConfigurationUpdate;
import org.bulrushwheel.model.proto.Frame;
import org.bulrushwheel.model.settings.Settings;
import org.bulrushwheel.wire.PeerNetwork;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds the configuration in force and passes news on: control tells two instances of each zone, and whoever hears
 * something new from outside its zone tells its zone.
 *
 * <p>Invariant: the version in force never goes down while the process runs. Thread safe.
 */
public final class ConfigurationService implements KernelService {
    /** Name in the kernel. */
    public static final String NAME = "configuration";

    private static final Logger LOGGER = LoggerFactory.getLogger(ConfigurationService.class);
    private static final String RELAY_KEY = "relay";
    private static final int RELAYS_TOLD = 2;
    private static final long GRACE_MILLIS = 4_000;
    private static final long FIRST_POLL_MILLIS = 200;
    private static final long POLL_MILLIS = 1_000;

    private final Settings settings;
    private final PeerNetwork peers;
    private final TimeSource time;
    private final MetricRegistry metrics;
    private final ConfigurationInForce configuration;
    private final List<Consumer<VersionedConfiguration>> listeners = new CopyOnWriteArrayList<>();
    private final List<String> zonePeers;
    private final List<String> controlPeers;
    private final ServiceTimer timer;
    private volatile VersionedConfiguration current = VersionedConfiguration.NONE;
    private volatile BooleanSupplier leads = () -> false;
    private volatile BiConsumer<String, Long> confirmer = (asker, haveVersion) -> {};
    private int nextControl;
    private long nextPollMillis;

    /** A service that follows the control instances and peers of the settings. */
    public ConfigurationService(Settings settings, PeerNetwork peers, TimeSource time, MetricRegistry metrics) {
        this.settings = settings;
        this.peers = peers;
        this.time = time;
        this.timer = new ServiceTimer(NAME, metrics);
        this.metrics = metrics;
        this.configuration = new ConfigurationInForce(time.monotonicMillis() + GRACE_MILLIS);
        this.zonePeers = namesOf(peer -> peer.zone().equals(settings.zone()));
        this.controlPeers = settings.instances().stream()
                .filter(Instance::control)
                .map(Instance::name)
                .toList();
        metrics.register("configuration.version", (Gauge<Long>) () -> current.version());
        peers.handle(Frame.BodyCase.CONFIGURATION_UPDATE, (frame, reply) -> onUpdate(frame));
        peers.handle(Frame.BodyCase.CONFIGURATION_FETCH, (frame, reply) -> onFetch(frame));
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        timer.every(FIRST_POLL_MILLIS, this::poll);
    }

    @Override
    public void stop() {
        timer.close();
    }

    /** Returns the configuration in force. */
    public VersionedConfiguration current() {
        return current;
    }

    /** Adds a listener that is called with each new configuration. */
    public void onChange(Consumer<VersionedConfiguration> listener) {
        listeners.add(listener);
    }

    /** Sets what tells whether the replica of this instance leads; the leader tells the other zones. */
    public void setLeads(BooleanSupplier newLeads) {
        leads = newLeads;
    }

    /** Sets who handles fetches that only a confirmed leader may answer. */
    public void setConfirmer(BiConsumer<String, Long> newConfirmer) {
        confirmer = newConfirmer;
    }

    /** Takes a configuration that the replica of this instance has applied. */
    public void accepted(VersionedConfiguration accepted) {
        long before = take(accepted);
        if (before < accepted.version()) {
            tell(zonePeers, before);
            if (leads.getAsBoolean()) {
                tell(relays(), before);
            }
        }
    }

    /** Takes the version that a zone neighbour reports; a newer one is fetched. */
    public void onNeighbourVersion(String neighbour, long version) {
        if (version > known()) {
            fetch(neighbour, false);
        }
    }

    /** Sends what this instance knows to an asker whose question a majority has confirmed. */
    public void answerConfirmed(String asker, long haveVersion, long newestVersion) {
        ConfigurationUpdate.Builder update;
        synchronized (configuration) {
            update = configuration
                    .updateFrom(haveVersion)
                    .map(ConfigurationUpdate::toBuilder)
                    .orElseGet(ConfigurationUpdate::newBuilder);
        }
        if (update.getToVersion() == 0) {
            update.setToVersion(newestVersion);
        }
        peers.send(asker, Frame.newBuilder().setConfigurationUpdate(update.setConfirmed(true)));
    }

    /** Returns the version known before. */
    private long take(VersionedConfiguration offered) {
        long before;
        synchronized (configuration) {
            before = configuration.knownVersion();
            configuration.offer(offered, time.monotonicMillis());
        }
        publish();
        return before;
    }

    private void publish() {
        VersionedConfiguration now;
        synchronized (configuration) {
            now = configuration.current();
            if (now.version() <= current.version()) {
                return;
            }
            current = now;
        }
        LOGGER.info("configuration in force version={}", now.version());
        listeners.forEach(listener -> listener.accept(now));
    }

    private void onUpdate(Frame frame) {
        ConfigurationUpdate update = frame.getConfigurationUpdate();
        long before = known();
        if (update.getToVersion() > before) {
            read(frame.getSender(), update);
        }
        if (update.getConfirmed()) {
            synchronized (configuration) {
                configuration.confirm(update.getToVersion(), time.monotonicMillis());
            }
            publish();
        }
        boolean fromOutside = !zonePeers.contains(frame.getSender());
        if (known() > before && fromOutside) {
            tell(zonePeers, before);
        }
    }

    private void read(String sender, ConfigurationUpdate update) {
        synchronized (configuration) {
            configuration
                    .read(update)
                    .peek(offered -> configuration.offer(offered, time.monotonicMillis()))
                    .peekLeft(reason -> {
                        metrics.counter("configuration.updates.not-applied").inc();
                        fetch(sender, false);
                    });
        }
        publish();
    }

    private void onFetch(Frame frame) {
        if (frame.getConfigurationFetch().getConfirm()) {
            confirmer.accept(frame.getSender(), frame.getConfigurationFetch().getHaveVersion());
            return;
        }
        synchronized (configuration) {
            configuration
                    .updateFrom(frame.getConfigurationFetch().getHaveVersion())
                    .ifPresent(update ->
                            peers.send(frame.getSender(), Frame.newBuilder().setConfigurationUpdate(update)));
        }
    }

    private void tell(List<String> instances, long fromVersion) {
        synchronized (configuration) {
            configuration.updateFrom(fromVersion).ifPresent(update -> {
                metrics.meter("configuration.updates.sent").mark(instances.size());
                instances.forEach(name -> peers.send(name, Frame.newBuilder().setConfigurationUpdate(update)));
            });
        }
    }

    /** Until something is in force everybody is asked; then each instance asks one control instance now and then. */
    private void poll() {
        boolean waiting;
        synchronized (configuration) {
            waiting = configuration.awaitsConfirmation(time.monotonicMillis());
        }
        publish();
        long now = time.monotonicMillis();
        if (waiting) {
            controlPeers.forEach(name -> fetch(name, true));
            zonePeers.forEach(name -> fetch(name, false));
        } else if (now >= nextPollMillis && !controlPeers.isEmpty()) {
            nextPollMillis = now + POLL_MILLIS * Math.max(1, zonePeers.size());
            fetch(controlPeers.get(nextControl++ % controlPeers.size()), false);
        }
    }

    private void fetch(String instance, boolean confirm) {
        peers.send(
                instance,
                Frame.newBuilder()
                        .setConfigurationFetch(ConfigurationFetch.newBuilder()
                                .setHaveVersion(known())
                                .setConfirm(confirm)));
    }

    private long known() {
        synchronized (configuration) {
            return configuration.knownVersion();
        }
    }

    private List<String> relays() {
        Map<String, List<String>> byZone = settings.peers().stream()
                .filter(peer -> !peer.zone().equals(settings.zone()))
                .collect(
                        Collectors.groupingBy(Instance::zone, Collectors.mapping(Instance::name, Collectors.toList())));
        return byZone.values().stream()
                .flatMap(names ->
                        RendezvousHash.ranked(RELAY_KEY, names).stream().limit(RELAYS_TOLD))
                .toList();
    }

    private List<String> namesOf(java.util.function.Predicate<Instance> which) {
        return settings.peers().stream().filter(which).map(Instance::name).toList();
    }
}
