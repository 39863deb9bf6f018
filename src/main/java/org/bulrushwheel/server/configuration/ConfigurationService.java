package org.bulrushwheel.server.configuration;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.bulrushwheel.kernel.KernelService;
import org.bulrushwheel.logic.config.ConfigurationCodec;
import org.bulrushwheel.model.config.Configuration;
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
 * Holds the configuration in force.
 *
 * <p>Invariant: the version never goes down while the process runs. Thread safe.
 */
public final class ConfigurationService implements KernelService {
    /** Name in the kernel. */
    public static final String NAME = "configuration";

    private static final Logger LOGGER = LoggerFactory.getLogger(ConfigurationService.class);
    private static final long POLL_MILLIS = 500;

    private final Settings settings;
    private final PeerNetwork peers;
    private final MetricRegistry metrics;
    private final List<Consumer<VersionedConfiguration>> listeners = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(
            new io.netty.util.concurrent.DefaultThreadFactory("configuration"));
    private volatile VersionedConfiguration current = VersionedConfiguration.NONE;
    private int nextSource;

    /** A service that follows the control instances and peers of the settings. */
    public ConfigurationService(Settings settings, PeerNetwork peers, MetricRegistry metrics) {
        this.settings = settings;
        this.peers = peers;
        this.metrics = metrics;
        metrics.register("configuration.version", (Gauge<Long>) () -> current.version());
        peers.handle(Frame.BodyCase.CONFIGURATION_UPDATE, (frame, reply) -> onUpdate(frame.getConfigurationUpdate()));
        peers.handle(Frame.BodyCase.CONFIGURATION_FETCH, this::onFetch);
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        timer.scheduleWithFixedDelay(this::poll, 0, POLL_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        timer.shutdownNow();
    }

    /** Returns the configuration in force. */
    public VersionedConfiguration current() {
        return current;
    }

    /** Adds a listener that is called with each new configuration. */
    public void onChange(Consumer<VersionedConfiguration> listener) {
        listeners.add(listener);
    }

    /** Takes a configuration that control accepted and tells the peers; an older one changes nothing. */
    public void accepted(VersionedConfiguration offered) {
        if (apply(offered)) {
            Frame.Builder update = Frame.newBuilder().setConfigurationUpdate(toUpdate(offered));
            settings.peers().forEach(peer -> peers.send(peer.name(), update.clone()));
        }
    }

    private synchronized boolean apply(VersionedConfiguration offered) {
        if (offered.version() <= current.version()) {
            return false;
        }
        current = offered;
        LOGGER.info("configuration in force version={}", offered.version());
        listeners.forEach(listener -> listener.accept(offered));
        return true;
    }

    private void onUpdate(ConfigurationUpdate update) {
        if (update.getToVersion() <= current.version()) {
            return;
        }
        ConfigurationCodec.read(update.getDocument(), Configuration.class)
                .peek(configuration ->
                        apply(new VersionedConfiguration(update.getToVersion(), configuration, update.getDocument())))
                .peekLeft(fault -> {
                    metrics.counter("configuration.updates.unreadable").inc();
                    LOGGER.warn("configuration version={} cannot be read: {}", update.getToVersion(), fault);
                });
    }

    private void onFetch(Frame frame, Consumer<Frame.Builder> reply) {
        if (frame.getConfigurationFetch().getHaveVersion() < current.version()) {
            peers.send(frame.getSender(), Frame.newBuilder().setConfigurationUpdate(toUpdate(current)));
        }
    }

    /** Asks one peer in turn for anything newer, so that lost updates heal. */
    private void poll() {
        List<Instance> sources = settings.peers();
        if (sources.isEmpty()) {
            return;
        }
        Instance source = sources.get(nextSource++ % sources.size());
        peers.send(
                source.name(),
                Frame.newBuilder()
                        .setConfigurationFetch(ConfigurationFetch.newBuilder().setHaveVersion(current.version())));
    }

    private static ConfigurationUpdate toUpdate(VersionedConfiguration configuration) {
        return ConfigurationUpdate.newBuilder()
                .setToVersion(configuration.version())
                .setDocument(configuration.document())
                .build();
    }
}
