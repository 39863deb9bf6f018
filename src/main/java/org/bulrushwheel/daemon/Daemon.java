package org.bulrushwheel.daemon;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import org.bulrushwheel.control.ControlClient;
import org.bulrushwheel.control.ControlService;
import org.bulrushwheel.kernel.DecisionLog;
import org.bulrushwheel.kernel.Kernel;
import org.bulrushwheel.logic.raft.RaftRole;
import org.bulrushwheel.logic.time.SystemTimeSource;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.settings.Settings;
import org.bulrushwheel.server.HttpAnswers;
import org.bulrushwheel.server.HttpResources;
import org.bulrushwheel.server.HttpService;
import org.bulrushwheel.server.admin.AdminHandler;
import org.bulrushwheel.server.admin.Authorizer;
import org.bulrushwheel.server.caps.ShiftCapService;
import org.bulrushwheel.server.configuration.ConfigurationService;
import org.bulrushwheel.server.gateway.GatewayHandler;
import org.bulrushwheel.server.gateway.GatewayService;
import org.bulrushwheel.server.gateway.ReplicatedRunLedger;
import org.bulrushwheel.server.gateway.RunLedger;
import org.bulrushwheel.server.lookup.LookupHandler;
import org.bulrushwheel.server.membership.MembershipService;
import org.bulrushwheel.server.poison.PoisonService;
import org.bulrushwheel.server.slots.SlotService;
import org.bulrushwheel.server.status.MetricsPages;
import org.bulrushwheel.server.status.StatusHandler;
import org.bulrushwheel.server.upstreams.UpstreamHandler;
import org.bulrushwheel.server.upstreams.UpstreamService;
import org.bulrushwheel.wire.PeerNetwork;

/**
 * Process of a deployment whose settings list all instances: an entry instance, plus a control replica if the settings
 * name a data folder.
 *
 * <p>Thread safe; {@link #start()} and {@link #close()} are called once.
 */
public final class Daemon implements AutoCloseable {
    private static final long DRAIN_SECONDS = 15;

    /** Time within which every instance learns through the membership protocol that an instance is leaving. */
    private static final long LEAVE_PROPAGATION_MILLIS = 2_000;

    private final Settings settings;
    private final MetricRegistry metrics = new MetricRegistry();
    private final TimeSource time = new SystemTimeSource();
    private final DecisionLog decisions;
    private final Kernel kernel;
    private final long incarnation = time.epochMillis();

    /** Assembles the services of a process with these settings; none of them runs before {@link #start()}. */
    public Daemon(Settings settings, int ioThreads) {
        this.settings = settings;
        this.decisions = new DecisionLog(settings.instance(), time);
        this.kernel = new Kernel(decisions);
        PeerNetwork peers = kernel.register(new PeerNetwork(settings, metrics));
        ConfigurationService configuration = kernel.register(new ConfigurationService(settings, peers, time, metrics));
        Optional<ControlService> control = registerControl(peers, configuration);
        ControlClient client = kernel.register(new ControlClient(settings, peers, time, metrics));
        UpstreamService upstreams = kernel.register(new UpstreamService(settings, peers, time, metrics));
        MembershipService membership = kernel.register(new MembershipService(
                settings,
                incarnation,
                peers,
                time,
                () -> configuration.current().version(),
                metrics));
        membership.onConfigurationVersion(configuration::onNeighbourVersion);
        SlotService slots = kernel.register(new SlotService(
                settings, incarnation, peers, membership, upstreams, configuration::current, time, metrics, decisions));
        configuration.onChange(accepted -> slots.configure());
        ShiftCapService caps = kernel.register(new ShiftCapService(
                settings, peers, configuration::current, () -> control.map(ControlService::status), time, metrics));
        PoisonService poison = kernel.register(new PoisonService(settings, peers, time, metrics));
        HttpAnswers answers = new HttpAnswers(metrics);
        HttpService http = kernel.register(new HttpService(settings, ioThreads, metrics, answers));
        addPages(http, answers, configuration, control);
        http.handle(UpstreamHandler.PREFIX, new UpstreamHandler(upstreams, time, answers));
        LookupHandler lookup = new LookupHandler(settings.zone(), membership::serving, time, answers, metrics);
        configuration.onChange(lookup::configure);
        http.handleExact(LookupHandler.PATH, lookup);
        Authorizer authorizer = new Authorizer(settings.administrationTokenSha256(), client, time);
        new AdminHandler(client, authorizer, http.documents(), configuration::current, time, answers)
                .handlers()
                .forEach(http::handleExact);
        RunLedger ledger = new ReplicatedRunLedger(settings.instance(), incarnation, client, membership::isAlive);
        GatewayService gateway = kernel.register(new GatewayService(
                new GatewayHandler(
                        settings.instance(),
                        configuration::current,
                        slots,
                        ledger,
                        caps,
                        poison,
                        time,
                        metrics,
                        new HttpResources(http.bodies(), answers)),
                metrics));
        http.handle(GatewayHandler.PREFIX, gateway.handler());
    }

    /** Starts every service. */
    public void start() {
        kernel.start();
    }

    /** Returns the version of the configuration in force. */
    public long configurationVersion() {
        return kernel.find(ConfigurationService.NAME, ConfigurationService.class)
                .current()
                .version();
    }

    /** Returns the registry of this process's metrics. */
    public MetricRegistry metrics() {
        return metrics;
    }

    /** Returns the kernel, which finds services by name. */
    public Kernel kernel() {
        return kernel;
    }

    /** Returns the settings. */
    public Settings settings() {
        return settings;
    }

    /**
     * Stops gracefully: withdraws this instance from look-ups, continues to serve until the last look-up answer that
     * names it has expired, and then drains the requests in flight.
     */
    public void leaveAndClose() {
        kernel.find(MembershipService.NAME, MembershipService.class).leave();
        try {
            Thread.sleep(LookupHandler.CACHE_MILLIS + LEAVE_PROPAGATION_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        close();
    }

    /** Drains and stops every service. */
    @Override
    public void close() {
        kernel.stop(System.nanoTime() + TimeUnit.SECONDS.toNanos(DRAIN_SECONDS));
    }

    private Optional<ControlService> registerControl(PeerNetwork peers, ConfigurationService configuration) {
        if (settings.dataPath().isEmpty()) {
            return Optional.empty();
        }
        ControlService control =
                kernel.register(new ControlService(settings, peers, time, RandomGenerator.getDefault(), metrics));
        control.setDecisionSink(decisions);
        control.addConfigurationListener(configuration::accepted);
        configuration.setConfirmer(control::confirmFetch);
        control.onConfirmedFetch(configuration::answerConfirmed);
        configuration.setLeads(() -> control.status().role() == RaftRole.LEADER);
        return Optional.of(control);
    }

    private void addPages(
            HttpService http,
            HttpAnswers answers,
            ConfigurationService configuration,
            Optional<ControlService> control) {
        MetricsPages pages = new MetricsPages(metrics);
        http.handleExact("/health", exchange -> answers.text(exchange, 200, "ok\n"));
        http.handleExact("/metrics", exchange -> answers.text(exchange, 200, pages.text()));
        http.handleExact("/metrics.json", exchange -> answers.json(exchange, 200, pages.values()));
        http.handleExact(
                StatusHandler.PATH,
                new StatusHandler(
                        settings.self(),
                        incarnation,
                        configuration::current,
                        () -> control.map(ControlService::status),
                        answers));
    }
}
