package org.bulrushwheel.server.poison;

import com.codahale.metrics.MetricRegistry;
import org.bulrushwheel.kernel.KernelService;
import org.bulrushwheel.logic.retry.PoisonRegistry;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.proto.Frame;
import org.bulrushwheel.model.proto.PoisonNotice;
import org.bulrushwheel.model.proto.PoisonRecord;
import org.bulrushwheel.model.settings.Settings;
import org.bulrushwheel.server.gateway.PoisonGuard;
import org.bulrushwheel.wire.PeerNetwork;

/**
 * Holds the registry of requests that crash endpoints and sends its changes to all other instances.
 *
 * <p>Thread safe.
 */
public final class PoisonService implements KernelService, PoisonGuard {
    /** Name of the service in the kernel. */
    public static final String NAME = "poison";

    private final Settings settings;
    private final PeerNetwork peers;
    private final TimeSource time;
    private final MetricRegistry metrics;
    private final PoisonRegistry registry = new PoisonRegistry();

    /** Creates the service; changes are sent to the peers in the settings. */
    public PoisonService(Settings settings, PeerNetwork peers, TimeSource time, MetricRegistry metrics) {
        this.settings = settings;
        this.peers = peers;
        this.time = time;
        this.metrics = metrics;
        peers.handle(Frame.BodyCase.POISON_NOTICE, (frame, reply) -> frame.getPoisonNotice()
                .getRecordsList()
                .forEach(record -> registry.merge(record, time.monotonicMillis())));
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        // Nothing to do: the service has no thread of its own.
    }

    @Override
    public void stop() {
        // Nothing to do: the service has no thread of its own.
    }

    @Override
    public boolean hasSuspects() {
        return !registry.isEmpty();
    }

    @Override
    public boolean isPoison(String fingerprint) {
        return registry.isPoison(fingerprint, time.monotonicMillis());
    }

    @Override
    public void onCrash(String fingerprint, String endpointId) {
        metrics.counter("gateway.crashes").inc();
        broadcast(registry.onCrash(fingerprint, endpointId, time.monotonicMillis()));
    }

    @Override
    public void onAnswer(String fingerprint) {
        registry.onAnswer(fingerprint, time.monotonicMillis()).ifPresent(this::broadcast);
    }

    private void broadcast(PoisonRecord record) {
        PoisonNotice notice = PoisonNotice.newBuilder().addRecords(record).build();
        settings.peers()
                .forEach(peer -> peers.send(peer.name(), Frame.newBuilder().setPoisonNotice(notice)));
    }
}
