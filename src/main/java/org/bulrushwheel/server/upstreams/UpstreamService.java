package org.bulrushwheel.server.upstreams;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;

import com.codahale.metrics.MetricRegistry;
import org.bulrushwheel.kernel.KernelService;
import org.bulrushwheel.kernel.ServiceTimer;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.logic.upstream.UpstreamDirectory;
import org.bulrushwheel.model.instance.Instance;
import org.bulrushwheel.model.proto.Frame;
import org.bulrushwheel.model.proto.UpstreamUpdate;
import org.bulrushwheel.model.settings.Settings;
import org.bulrushwheel.model.upstream.Upstream;
import org.bulrushwheel.wire.PeerNetwork;

/**
 * Holds the directory of endpoints in the zone of this instance and forwards announcements to the instances in the zone
 * of the endpoint.
 *
 * <p>Thread safe: the directory is replaced as a whole.
 */
public final class UpstreamService implements KernelService {
    /** Name of the service in the kernel. */
    public static final String NAME = "upstreams";

    private static final long SYNC_INTERVAL_MILLIS = 500;

    private final Settings settings;
    private final PeerNetwork peers;
    private final TimeSource time;
    private final MetricRegistry metrics;
    private final AtomicReference<UpstreamDirectory> directory = new AtomicReference<>(UpstreamDirectory.EMPTY);
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
    private final ServiceTimer timer;

    /** Creates the service with an empty directory; updates are exchanged with the peers in the settings. */
    public UpstreamService(Settings settings, PeerNetwork peers, TimeSource time, MetricRegistry metrics) {
        this.settings = settings;
        this.peers = peers;
        this.time = time;
        this.timer = new ServiceTimer(NAME, metrics);
        this.metrics = metrics;
        peers.handle(Frame.BodyCase.UPSTREAM_UPDATE, (frame, reply) -> onUpdate(frame.getUpstreamUpdate()));
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        timer.every(SYNC_INTERVAL_MILLIS, this::sync);
    }

    @Override
    public void stop() {
        timer.close();
    }

    /** Returns the current directory. */
    public UpstreamDirectory directory() {
        return directory.get();
    }

    /** Adds a listener that is called after the directory has changed. */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /** Handles an announcement or leave sent to this instance and forwards it to the zone of the endpoint. */
    public void announce(Upstream upstream) {
        Frame.Builder frame = Frame.newBuilder()
                .setUpstreamUpdate(
                        UpstreamUpdate.newBuilder().addRecords(UpstreamRecords.toRecord(upstream, time.epochMillis())));
        if (upstream.zone().equals(settings.zone())) {
            merge(List.of(upstream));
        }
        settings.peers().stream()
                .filter(peer -> peer.zone().equals(upstream.zone()))
                .forEach(peer -> peers.send(peer.name(), frame.clone()));
    }

    private void onUpdate(UpstreamUpdate update) {
        merge(update.getRecordsList().stream()
                .map(record -> UpstreamRecords.toUpstream(record, time.epochMillis()))
                .toList());
    }

    private void merge(List<Upstream> received) {
        long previousDigest = directory.get().digest();
        directory.updateAndGet(
                current -> current.merge(received.stream().filter(this::isLocal).toList()));
        if (directory.get().digest() != previousDigest) {
            listeners.forEach(Runnable::run);
        }
    }

    private boolean isLocal(Upstream upstream) {
        return upstream.zone().equals(settings.zone());
    }

    /** Sends the whole directory to one zone neighbour in turn, so that lost updates are repaired. */
    private void sync() {
        directory.updateAndGet(current -> current.forget(time.epochMillis()));
        List<Instance> neighbours = settings.peers().stream()
                .filter(peer -> peer.zone().equals(settings.zone()))
                .toList();
        if (neighbours.isEmpty() || directory.get().all().isEmpty()) {
            return;
        }
        Instance neighbour =
                neighbours.get((int) ((time.monotonicMillis() / SYNC_INTERVAL_MILLIS) % neighbours.size()));
        UpstreamUpdate.Builder update = UpstreamUpdate.newBuilder();
        directory
                .get()
                .all()
                .forEach(upstream -> update.addRecords(UpstreamRecords.toRecord(upstream, time.epochMillis())));
        metrics.meter("upstreams.syncs").mark();
        peers.send(neighbour.name(), Frame.newBuilder().setUpstreamUpdate(update));
    }
}
