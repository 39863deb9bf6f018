package org.bulrushwheel.server.fleet;

import java.util.List;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import org.bulrushwheel.kernel.KernelService;
import org.bulrushwheel.kernel.ServiceTimer;
import org.bulrushwheel.logic.placement.SeenLoads;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.proto.EntryRecord;
import org.bulrushwheel.model.proto.Frame;
import org.bulrushwheel.model.proto.LoadNotice;
import org.bulrushwheel.model.proto.SeenLoad;
import org.bulrushwheel.wire.PeerNetwork;

/**
 * Relays endpoint loads: from the entry instances that report to this control instance to the other control instances,
 * and from all sources to these entry instances.
 *
 * <p>Invariants: nothing is sent while no endpoint is full; the sending rate grows at most linearly with the number of
 * entry instances that receive it. Thread safe: guarded by itself.
 */
public final class LoadRelay implements KernelService {
    /** Name of the service in the kernel. */
    public static final String NAME = "load-relay";

    private static final long MIN_DELAY_MILLIS = 100;
    // Sending a message costs about 0.05 ms of CPU time, so relaying takes about a fiftieth of a core, however many
    // entry
    // instances there are.
    private static final long DELAY_MILLIS_PER_ENTRY_INSTANCE = 2;

    private final EntryDirectory directory;
    private final Supplier<List<String>> otherControls;
    private final PeerNetwork peers;
    private final TimeSource time;
    private final ServiceTimer timer;
    private final SeenLoads pendingForControls = new SeenLoads();
    private final SeenLoads pendingForEntries = new SeenLoads();
    private boolean scheduled;

    /**
     * Creates the relay of a control instance.
     *
     * @param otherControls supplies the peer addresses of the other control instances
     */
    public LoadRelay(
            EntryDirectory directory,
            Supplier<List<String>> otherControls,
            PeerNetwork peers,
            TimeSource time,
            MetricRegistry metrics) {
        this.directory = directory;
        this.otherControls = otherControls;
        this.peers = peers;
        this.time = time;
        this.timer = new ServiceTimer(NAME, metrics);
        peers.handle(Frame.BodyCase.LOAD_NOTICE, (frame, reply) -> onNotice(frame.getLoadNotice()));
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        // The timer is started by incoming notices.
    }

    @Override
    public void stop() {
        timer.close();
    }

    private synchronized void onNotice(LoadNotice notice) {
        long nowMillis = time.monotonicMillis();
        for (SeenLoad load : notice.getLoadsList()) {
            pendingForEntries.onPeerLoad(load, nowMillis);
            if (!notice.getForwarded()) {
                pendingForControls.onPeerLoad(load, nowMillis);
            }
        }
        if (!scheduled) {
            scheduled = true;
            int entryInstances = directory.reportingDirectly().size();
            timer.after(
                    Math.max(MIN_DELAY_MILLIS, DELAY_MILLIS_PER_ENTRY_INSTANCE * entryInstances), this::sendPending);
        }
    }

    private void sendPending() {
        List<SeenLoad> toControls;
        List<SeenLoad> toEntries;
        synchronized (this) {
            scheduled = false;
            long nowMillis = time.monotonicMillis();
            toControls = pendingForControls.take(nowMillis);
            toEntries = pendingForEntries.take(nowMillis);
        }
        if (!toControls.isEmpty()) {
            send(
                    otherControls.get(),
                    LoadNotice.newBuilder().addAllLoads(toControls).setForwarded(true));
        }
        List<String> entryAddresses = directory.reportingDirectly().stream()
                .map(EntryRecord::getPeerAddress)
                .toList();
        send(entryAddresses, LoadNotice.newBuilder().addAllLoads(toEntries));
    }

    private void send(List<String> receivers, LoadNotice.Builder notice) {
        LoadNotice complete = notice.build();
        receivers.forEach(peer -> peers.send(peer, Frame.newBuilder().setLoadNotice(complete)));
    }
}
