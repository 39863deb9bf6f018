package org.bulrushwheel.server.fleet;

import java.util.List;
import java.util.function.Supplier;

import org.bulrushwheel.logic.retry.PoisonRegistry;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.proto.EntryRecord;
import org.bulrushwheel.model.proto.Frame;
import org.bulrushwheel.model.proto.PoisonNotice;
import org.bulrushwheel.model.proto.PoisonRecord;
import org.bulrushwheel.wire.PeerNetwork;

/**
 * Relays the records of requests that crash endpoints: from the entry instances that report to this control instance to
 * the others and to the other control instances, and all that are still suspect to an entry instance that has just
 * started or come here.
 *
 * <p>Invariant: a notice that another control instance has forwarded is not forwarded to a third. Thread safe.
 */
public final class PoisonRelay {
    private final EntryDirectory directory;
    private final Supplier<List<String>> otherControls;
    private final PeerNetwork peers;
    private final TimeSource time;
    private final PoisonRegistry registry = new PoisonRegistry();

    /**
     * Creates the relay of a control instance and registers its message handler.
     *
     * @param otherControls supplies the peer addresses of the other control instances
     */
    public PoisonRelay(
            EntryDirectory directory, Supplier<List<String>> otherControls, PeerNetwork peers, TimeSource time) {
        this.directory = directory;
        this.otherControls = otherControls;
        this.peers = peers;
        this.time = time;
        peers.handle(
                Frame.BodyCase.POISON_NOTICE, (frame, reply) -> onNotice(frame.getSender(), frame.getPoisonNotice()));
    }

    /** Sends the suspect requests to an entry instance that may not have heard of them. */
    public void sendSuspects(String entryInstance) {
        List<PoisonRecord> suspects = registry.suspects(time.monotonicMillis());
        if (!suspects.isEmpty()) {
            send(
                    entryInstance,
                    PoisonNotice.newBuilder().addAllRecords(suspects).build());
        }
    }

    private void onNotice(String sender, PoisonNotice notice) {
        long nowMillis = time.monotonicMillis();
        notice.getRecordsList().forEach(record -> registry.merge(record, nowMillis));
        directory.reportingDirectly().stream()
                .map(EntryRecord::getPeerAddress)
                .filter(peer -> !peer.equals(sender))
                .forEach(peer -> send(peer, notice));
        if (!notice.getForwarded()) {
            PoisonNotice forwarded = notice.toBuilder().setForwarded(true).build();
            otherControls.get().forEach(peer -> send(peer, forwarded));
        }
    }

    private void send(String peer, PoisonNotice notice) {
        peers.send(peer, Frame.newBuilder().setPoisonNotice(notice));
    }
}
