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
 * Passes loads of endpoints on: from the entry instances that this control instance hears to the other control instances,
 * and from all to these entry instances.
 *
 * <p>Invariants: nothing is sent while no endpoint is full; what is sent in a second grows no faster than the entry
 * instances that hear it. Thread safe: guarded by itself.
 */
public final class LoadRelay implements KernelService {
    /** Name in the kernel. */
    public static final String NAME = "load-relay";

    private static final long PAUSE_MILLIS = 100;
    // A message costs about 0.05 ms: a fiftieth of a core at any number of entry instances.
    private static final long PAUSE_MILLIS_PER_LISTENER = 2;

    private final EntryDirectory directory;
    private final Supplier<List<String>> otherControls;
    private final PeerNetwork peers;
    private final TimeSource time;
    private final ServiceTimer timer;
    private final SeenLoads forControls = new SeenLoads();
    private final SeenLoads forEntries = new SeenLoads();
    private boolean scheduled;

    /**
     * A relay on a control instance.
     *
     * @param otherControls peer addresses of the other control instances
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
        // Notices start the timer.
    }

    @Override
    public void stop() {
        timer.close();
    }

    private synchronized void onNotice(LoadNotice notice) {
        long nowMillis = time.monotonicMillis();
        for (SeenLoad load : notice.getLoadsList()) {
            forEntries.heard(load, nowMillis);
            if (!notice.getForwarded()) {
                forControls.heard(load, nowMillis);
            }
        }
        if (!scheduled) {
            scheduled = true;
            int listeners = directory.heardDirectly().size();
            timer.after(Math.max(PAUSE_MILLIS, PAUSE_MILLIS_PER_LISTENER * listeners), this::passOn);
        }
    }

    private void passOn() {
        List<SeenLoad> toControls;
        List<SeenLoad> toEntries;
        synchronized (this) {
            scheduled = false;
            long nowMillis = time.monotonicMillis();
            toControls = forControls.take(nowMillis);
            toEntries = forEntries.take(nowMillis);
        }
        if (!toControls.isEmpty()) {
            send(
                    otherControls.get(),
                    LoadNotice.newBuilder().addAllLoads(toControls).setForwarded(true));
        }
        List<String> entries = directory.heardDirectly().stream()
                .map(EntryRecord::getPeerAddress)
                .toList();
        send(entries, LoadNotice.newBuilder().addAllLoads(toEntries));
    }

    private void send(List<String> receivers, LoadNotice.Builder notice) {
        LoadNotice complete = notice.build();
        receivers.forEach(peer -> peers.send(peer, Frame.newBuilder().setLoadNotice(complete)));
    }
}
