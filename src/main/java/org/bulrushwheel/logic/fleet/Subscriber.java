package org.bulrushwheel.logic.fleet;

import org.bulrushwheel.model.proto.FleetHello;

/**
 * What a control instance knows of an entry instance that receives the changes of the fleet from it.
 *
 * <p>Invariant: changes may be sent only while none are on their way: the previous ones are acknowledged, were lost with
 * their connection, or count as lost since they have not been acknowledged for long. That time doubles with each loss, so
 * that a full link is not filled with copies. Not thread safe.
 */
public final class Subscriber {
    // Several hellos long, since single ones may be lost.
    private static final long VALID_MILLIS = 2_000;
    private static final long FIRST_RESEND_MILLIS = 1_000;
    private static final int MAX_RESEND_DOUBLINGS = 2;

    private final String peer;
    private long incarnation = -1;
    private long revision;
    private long trafficVersion;
    private long sentRevision;
    private long sentConnection;
    private long resendAtMillis;
    private int lostUpdates;
    private long heldSinceMillis = Long.MAX_VALUE;
    private long deadlineMillis;

    /** Creates a subscriber that has not reported yet. */
    public Subscriber(String peer) {
        this.peer = peer;
    }

    /** Records a hello, which also acknowledges the changes up to the revision that it names. */
    public void onHello(FleetHello hello, long nowMillis) {
        boolean isRestarted = hello.getEntry().getIncarnation() != incarnation;
        incarnation = hello.getEntry().getIncarnation();
        revision = hello.getHaveRevision();
        trafficVersion = hello.getHaveTrafficVersion();
        deadlineMillis = nowMillis + VALID_MILLIS;
        if (isRestarted || revision >= sentRevision) {
            sentRevision = revision;
            lostUpdates = 0;
        }
    }

    /**
     * Records that changes up to a revision are sent.
     *
     * @param connection number of the connection that carries them
     */
    public void onChangesSent(long newRevision, long connection, long nowMillis) {
        lostUpdates = awaitsAcknowledgement() ? Math.min(lostUpdates + 1, MAX_RESEND_DOUBLINGS) : 0;
        heldSinceMillis = Long.MAX_VALUE;
        sentRevision = newRevision;
        sentConnection = connection;
        resendAtMillis = nowMillis + (FIRST_RESEND_MILLIS << lostUpdates);
    }

    /** Records that changes up to a revision are there; those that may not be sent yet are held from now on. */
    public void onChanges(long fleetRevision, long nowMillis) {
        if (fleetRevision > Math.max(revision, sentRevision)) {
            heldSinceMillis = Math.min(heldSinceMillis, nowMillis);
        }
    }

    /** Returns for how long the oldest of the changes that were not sent yet has been held, in milliseconds. */
    public long heldMillis(long nowMillis) {
        return Math.max(0, nowMillis - heldSinceMillis);
    }

    /** Whether changes were sent that the instance has not acknowledged. */
    public boolean awaitsAcknowledgement() {
        return sentRevision > revision;
    }

    /**
     * Whether the instance lacks changes and none are on their way, as far as that is known.
     *
     * @param fleetRevision revision up to which changes can be sent; that of a replica that lags may be lower than the
     *     instance's
     * @param connection number of the connection to the instance
     */
    public boolean mayReceiveChanges(long fleetRevision, long connection, long nowMillis) {
        boolean areOnTheirWay = awaitsAcknowledgement() && connection == sentConnection && nowMillis < resendAtMillis;
        return fleetRevision > revision && !areOnTheirWay;
    }

    /** Whether the instance has not reported for so long that it counts as gone. */
    public boolean isExpired(long nowMillis) {
        return deadlineMillis < nowMillis;
    }

    public String peer() {
        return peer;
    }

    /** Returns the revision that the instance has acknowledged. */
    public long revision() {
        return revision;
    }

    /** Returns the version of the traffic configuration that the instance has acknowledged, 0 if none. */
    public long trafficVersion() {
        return trafficVersion;
    }
}
