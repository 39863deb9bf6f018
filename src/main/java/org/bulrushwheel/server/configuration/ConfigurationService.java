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
 * Holds the configuration in force and distributes new versions: the control leader sends an update to two instances of
 * each other zone, and an instance that receives a new version from another zone sends it to all instances of its own
 * zone.
 *
 * <p>Invariant: the version in force never decreases while the process runs. Thread safe.
 */
public final class ConfigurationService implements KernelService {
    /** Name of the service in the kernel. */
    public static final String NAME = "configuration";

    private static final Logger LOGGER = LoggerFactory.getLogger(ConfigurationService.class);
    private static final String RELAY_KEY = "relay";
    private static final int RELAYS_PER_ZONE = 2;
    private static final long CONFIRMATION_GRACE_MILLIS = 4_000;
    private static final long UNCONFIRMED_POLL_MILLIS = 200;
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
    private volatile BiConsumer<String, Long> confirmer = (requester, haveVersion) -> {};
    private int nextControl;
    private long nextPollMillis;

    /** Creates the service; updates are exchanged with the control instances and peers in the settings. */
    public ConfigurationService(Settings settings, PeerNetwork peers, TimeSource time, MetricRegistry metrics) {
        this.settings = settings;
        this.peers = peers;
        this.time = time;
        this.timer = new ServiceTimer(NAME, metrics);
        this.metrics = metrics;
        this.configuration = new ConfigurationInForce(time.monotonicMillis() + CONFIRMATION_GRACE_MILLIS);
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
        timer.every(UNCONFIRMED_POLL_MILLIS, this::poll);
    }

    @Override
    public void stop() {
        timer.close();
    }

    /** Returns the configuration in force. */
    public VersionedConfiguration current() {
        return current;
    }

    /** Adds a listener that is called with each new configuration in force. */
    public void onChange(Consumer<VersionedConfiguration> listener) {
        listeners.add(listener);
    }

    /**
     * Sets the supplier of whether the replica of this instance is the leader, which sends updates to the other zones.
     */
    public void setLeads(BooleanSupplier newLeads) {
        leads = newLeads;
    }

    /** Sets the handler of fetches that only a leader confirmed by a majority may answer. */
    public void setConfirmer(BiConsumer<String, Long> newConfirmer) {
        confirmer = newConfirmer;
    }

    /** Handles a configuration that the replica of this instance has applied. */
    public void accepted(VersionedConfiguration applied) {
        long previousVersion = offerConfiguration(applied);
        if (previousVersion < applied.version()) {
            sendUpdate(zonePeers, previousVersion);
            if (leads.getAsBoolean()) {
                sendUpdate(relayInstances(), previousVersion);
            }
        }
    }

    /** Handles the version that a neighbour in the zone reports; a newer version is fetched from it. */
    public void onNeighbourVersion(String neighbour, long version) {
        if (version > newestKnownVersion()) {
            fetch(neighbour, false);
        }
    }

    /** Sends the newest known configuration to an instance whose fetch was confirmed by a majority. */
    public void answerConfirmed(String requester, long haveVersion, long newestVersion) {
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
        peers.send(requester, Frame.newBuilder().setConfigurationUpdate(update.setConfirmed(true)));
    }

    /** Offers a configuration; returns the newest version known before. */
    private long offerConfiguration(VersionedConfiguration offered) {
        long previousVersion;
        synchronized (configuration) {
            previousVersion = configuration.knownVersion();
            configuration.offer(offered, time.monotonicMillis());
        }
        publish();
        return previousVersion;
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
        long previousVersion = newestKnownVersion();
        if (update.getToVersion() > previousVersion) {
            applyUpdate(frame.getSender(), update);
        }
        if (update.getConfirmed()) {
            synchronized (configuration) {
                configuration.confirm(update.getToVersion(), time.monotonicMillis());
            }
            publish();
        }
        boolean fromOtherZone = !zonePeers.contains(frame.getSender());
        if (newestKnownVersion() > previousVersion && fromOtherZone) {
            sendUpdate(zonePeers, previousVersion);
        }
    }

    private void applyUpdate(String sender, ConfigurationUpdate update) {
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

    private void sendUpdate(List<String> instances, long fromVersion) {
        synchronized (configuration) {
            configuration.updateFrom(fromVersion).ifPresent(update -> {
                metrics.meter("configuration.updates.sent").mark(instances.size());
                instances.forEach(name -> peers.send(name, Frame.newBuilder().setConfigurationUpdate(update)));
            });
        }
    }

    /**
     * Fetches from all control instances and zone neighbours until a configuration is in force; after that, fetches
     * from one control instance in turn, at an interval proportional to the number of neighbours.
     */
    private void poll() {
        boolean awaitingConfirmation;
        synchronized (configuration) {
            awaitingConfirmation = configuration.awaitsConfirmation(time.monotonicMillis());
        }
        publish();
        long now = time.monotonicMillis();
        if (awaitingConfirmation) {
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
                                .setHaveVersion(newestKnownVersion())
                                .setConfirm(confirm)));
    }

    private long newestKnownVersion() {
        synchronized (configuration) {
            return configuration.knownVersion();
        }
    }

    private List<String> relayInstances() {
        Map<String, List<String>> byZone = settings.peers().stream()
                .filter(peer -> !peer.zone().equals(settings.zone()))
                .collect(
                        Collectors.groupingBy(Instance::zone, Collectors.mapping(Instance::name, Collectors.toList())));
        return byZone.values().stream()
                .flatMap(names ->
                        RendezvousHash.ranked(RELAY_KEY, names).stream().limit(RELAYS_PER_ZONE))
                .toList();
    }

    private List<String> namesOf(java.util.function.Predicate<Instance> condition) {
        return settings.peers().stream().filter(condition).map(Instance::name).toList();
    }
}
