package org.bulrushwheel.server.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.bulrushwheel.kernel.KernelService;
import org.bulrushwheel.kernel.ServiceTimer;
import org.bulrushwheel.logic.membership.MemberView;
import org.bulrushwheel.logic.membership.MembershipTimings;
import org.bulrushwheel.logic.membership.RendezvousHash;
import org.bulrushwheel.logic.membership.ZoneMembership;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.instance.Instance;
import org.bulrushwheel.model.proto.Frame;
import org.bulrushwheel.model.proto.Heartbeat;
import org.bulrushwheel.model.proto.ServingMember;
import org.bulrushwheel.model.proto.ZoneSummary;
import org.bulrushwheel.model.settings.Settings;
import org.bulrushwheel.wire.PeerNetwork;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges heartbeats within the zone and summaries of serving instances between zones.
 *
 * <p>Invariant: the zone membership is read and changed under one lock. Thread safe.
 */
public final class MembershipService implements KernelService {
    /** Name of the service in the kernel. */
    public static final String NAME = "membership";

    private static final Logger LOGGER = LoggerFactory.getLogger(MembershipService.class);
    private static final String RELAY_KEY = "relay";
    private static final long SUMMARY_INTERVAL_MILLIS = 5_000;

    private final Settings settings;
    private final PeerNetwork peers;
    private final TimeSource time;
    private final LongSupplier configurationVersion;
    private final ZoneMembership membership;
    private final List<Instance> zonePeers;
    private final Map<String, ZoneSummary> summaries = new ConcurrentHashMap<>();
    private final ServiceTimer timer;
    private volatile BiConsumer<String, Long> versionListener = (neighbour, version) -> {};
    private Set<String> lastAlive = Set.of();
    private Set<String> lastServing = Set.of();
    private long nextSummaryMillis;

    /** Creates the membership of the zone of this instance, with its zone peers from the settings. */
    public MembershipService(
            Settings settings,
            long incarnation,
            PeerNetwork peers,
            TimeSource time,
            LongSupplier configurationVersion,
            MetricRegistry metrics) {
        this.settings = settings;
        this.peers = peers;
        this.time = time;
        this.timer = new ServiceTimer(NAME, metrics);
        this.configurationVersion = configurationVersion;
        this.zonePeers = settings.peers().stream()
                .filter(peer -> peer.zone().equals(settings.zone()))
                .toList();
        this.membership = new ZoneMembership(
                settings.instance(),
                incarnation,
                zonePeers.stream().map(Instance::name).collect(Collectors.toSet()),
                MembershipTimings.DEFAULT,
                time.monotonicMillis());
        metrics.register(
                "membership.alive", (Gauge<Integer>) () -> view().alive().size());
        peers.handle(Frame.BodyCase.HEARTBEAT, (frame, reply) -> onHeartbeat(frame.getSender(), frame.getHeartbeat()));
        peers.handle(Frame.BodyCase.ZONE_SUMMARY, (frame, reply) -> onSummary(frame.getZoneSummary()));
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        long heartbeatIntervalMillis = MembershipTimings.DEFAULT.heartbeatMillis();
        timer.every(heartbeatIntervalMillis, this::sendHeartbeats);
    }

    @Override
    public void stop() {
        timer.close();
    }

    /** Announces that this instance is leaving, immediately and with every further heartbeat. */
    public void leave() {
        synchronized (membership) {
            membership.leave();
        }
        timer.after(0, this::sendHeartbeats);
    }

    /** Sets the listener for the configuration version in each heartbeat of a neighbour. */
    public void onConfigurationVersion(BiConsumer<String, Long> listener) {
        versionListener = listener;
    }

    /** Returns the current view of the members of the zone. */
    public MemberView view() {
        synchronized (membership) {
            return membership.view(time.monotonicMillis());
        }
    }

    /** Returns the owner of a key of this zone. */
    public Optional<String> ownerOf(String key) {
        synchronized (membership) {
            return membership.ownerOf(key, time.monotonicMillis());
        }
    }

    /** Whether this instance may currently act as the owner of a key. */
    public boolean owns(String key) {
        synchronized (membership) {
            long now = time.monotonicMillis();
            boolean mayOwn = membership.mayOwn(now);
            return mayOwn
                    && membership
                            .ownerOf(key, now)
                            .filter(settings.instance()::equals)
                            .isPresent();
        }
    }

    /**
     * Whether an incarnation of an instance is alive; for other zones, according to the last summary received from
     * them.
     */
    public boolean isAlive(String instance, long incarnation) {
        synchronized (membership) {
            if (membership.isAlive(instance, incarnation, time.monotonicMillis())) {
                return true;
            }
        }
        return settings.peers().stream()
                .filter(peer -> peer.name().equals(instance) && !peer.zone().equals(settings.zone()))
                .map(peer -> summaries.get(peer.zone()))
                .anyMatch(summary -> summary == null || serves(summary, instance, incarnation));
    }

    /** Returns the instances that look-up responses may contain, as far as this instance knows. */
    public List<Instance> serving() {
        Set<String> servingInZone = view().serving();
        List<Instance> serving = new ArrayList<>();
        for (Instance instance : settings.instances()) {
            boolean inZone = instance.zone().equals(settings.zone());
            ZoneSummary summary = summaries.get(instance.zone());
            boolean included = inZone
                    ? servingInZone.contains(instance.name())
                    : summary == null
                            || summary.getServingList().stream()
                                    .anyMatch(member -> member.getInstance().equals(instance.name()));
            if (included) {
                serving.add(instance);
            }
        }
        return serving;
    }

    /** Returns the configuration version of each live member of the zone, from its last heartbeat. */
    public Map<String, Long> configurationVersions() {
        synchronized (membership) {
            return membership.configurationVersions(time.monotonicMillis());
        }
    }

    private void sendHeartbeats() {
        Map<String, Heartbeat> heartbeats = new HashMap<>();
        Set<String> alive;
        synchronized (membership) {
            long now = time.monotonicMillis();
            Heartbeat heartbeat = membership.heartbeat(configurationVersion.getAsLong(), now);
            zonePeers.forEach(peer -> heartbeats.put(peer.name(), membership.addressedTo(peer.name(), heartbeat, now)));
            alive = membership.view(now).alive();
        }
        heartbeats.forEach(
                (peer, heartbeat) -> peers.send(peer, Frame.newBuilder().setHeartbeat(heartbeat)));
        logMembershipChange(alive);
        sendSummariesIfDue(alive);
    }

    private void logMembershipChange(Set<String> alive) {
        if (!alive.equals(lastAlive)) {
            Set<String> gone = new HashSet<>(lastAlive);
            gone.removeAll(alive);
            LOGGER.info("zone membership changed zone={} alive={} gone={}", settings.zone(), alive, gone);
            lastAlive = alive;
        }
    }

    /**
     * Sends a summary to one instance of each other zone if this instance is the relay of its zone and the serving
     * instances have changed or the interval has passed. The receiver forwards the summary within its zone.
     */
    private void sendSummariesIfDue(Set<String> alive) {
        long now = time.monotonicMillis();
        boolean isRelay = RendezvousHash.best(RELAY_KEY, alive)
                .filter(settings.instance()::equals)
                .isPresent();
        Set<String> serving = view().serving();
        boolean changed = !serving.equals(lastServing);
        if (!isRelay || (now < nextSummaryMillis && !changed)) {
            return;
        }
        lastServing = serving;
        nextSummaryMillis = now + SUMMARY_INTERVAL_MILLIS;
        ZoneSummary summary = ZoneSummary.newBuilder()
                .setZone(settings.zone())
                .setSequence(time.epochMillis())
                .addAllServing(servingMembers())
                .setForward(true)
                .build();
        Map<String, List<Instance>> byZone = settings.peers().stream()
                .filter(peer -> !peer.zone().equals(settings.zone()))
                .collect(Collectors.groupingBy(Instance::zone));
        byZone.values().forEach(zone -> {
            Instance receiver = zone.get((int) (summary.getSequence() / SUMMARY_INTERVAL_MILLIS % zone.size()));
            peers.send(receiver.name(), Frame.newBuilder().setZoneSummary(summary));
        });
    }

    private List<ServingMember> servingMembers() {
        synchronized (membership) {
            return membership.view(time.monotonicMillis()).serving().stream()
                    .map(name -> ServingMember.newBuilder()
                            .setInstance(name)
                            .setIncarnation(membership.incarnationOf(name).orElse(0L))
                            .build())
                    .toList();
        }
    }

    private static boolean serves(ZoneSummary summary, String instance, long incarnation) {
        return summary.getServingList().stream()
                .anyMatch(member -> member.getInstance().equals(instance) && member.getIncarnation() == incarnation);
    }

    private void onHeartbeat(String from, Heartbeat heartbeat) {
        synchronized (membership) {
            membership.onHeartbeat(from, heartbeat, time.monotonicMillis());
        }
        versionListener.accept(from, heartbeat.getConfigurationVersion());
    }

    private void onSummary(ZoneSummary summary) {
        summaries.merge(
                summary.getZone(),
                summary,
                (known, received) -> received.getSequence() > known.getSequence() ? received : known);
        if (summary.getForward()) {
            ZoneSummary copy = summary.toBuilder().setForward(false).build();
            zonePeers.forEach(peer -> peers.send(peer.name(), Frame.newBuilder().setZoneSummary(copy)));
        }
    }
}
