package org.bulrushwheel.logic.fleet;

import java.util.Optional;

import org.bulrushwheel.model.proto.FleetHello;
import org.bulrushwheel.model.proto.FleetUpdate;

/**
 * What a control instance knows of an entry instance that receives the changes of the fleet from it.
 *
 * <p>Invariant: changes are sent once on a connection, each building on those sent before, unless the instance has missed
 * some or has acknowledged nothing for long. That time doubles with each repeat, so that a full link is not filled with
 * copies. Changes do not wait for the acknowledgement of earlier ones for longer than {@link #MAX_HOLD_MILLIS}. Not thread
 * safe.
 */
public final class Subscriber {
    /** How long changes may wait for the acknowledgement of earlier ones, so that several can be sent at once. */
    static final long MAX_HOLD_MILLIS = 200;

    // Hellos may be late on a full link, and what has to be in force soon must not wait for the next one.
    private static final long VALID_MILLIS = 5_000;
    private static final long FIRST_RESEND_MILLIS = 1_000;
    private static final int MAX_RESEND_DOUBLINGS = 2;
    // The instance also misses the changes that were sent behind those that it has missed.
    private static final long MISSED_TOGETHER_MILLIS = 500;

    /** The state of an instance that changes build on. */
    private record Base(long revision, long trafficVersion) {}

    private final String peer;
    private long incarnation = -1;
    private Base acknowledged = new Base(0, 0);
    private Base sent = acknowledged;
    private long sentConnection;
    private long sentMillis;
    private long resendAtMillis;
    private long missedUntilMillis = Long.MIN_VALUE;
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
        boolean hasProgressed = hello.getHaveRevision() > acknowledged.revision();
        boolean hasMissed = hello.getMissed() && nowMillis >= missedUntilMillis;
        incarnation = hello.getEntry().getIncarnation();
        acknowledged = new Base(hello.getHaveRevision(), hello.getHaveTrafficVersion());
        deadlineMillis = nowMillis + VALID_MILLIS;
        if (hasMissed) {
            missedUntilMillis = nowMillis + MISSED_TOGETHER_MILLIS;
        }
        if (isRestarted || hasMissed || !awaitsAcknowledgement()) {
            sent = acknowledged;
            lostUpdates = 0;
        } else if (hasProgressed) {
            resendAtMillis = nowMillis + (FIRST_RESEND_MILLIS << lostUpdates);
        }
    }

    /**
     * Returns the changes to be sent now; empty if there are none, or if they are held or on their way.
     *
     * @param fleet state up to which changes can be sent; that of a replica that lags may be older than the instance's
     * @param history encodes the traffic document
     * @param connection number of the connection to the instance
     */
    public Optional<FleetUpdate.Builder> nextChanges(
            FleetState fleet, TrafficHistory history, long connection, long nowMillis) {
        if (!mayReceiveChanges(fleet.revision(), connection, nowMillis)) {
            return Optional.empty();
        }
        Base base = continues(fleet.revision(), connection, nowMillis) ? sent : acknowledged;
        FleetUpdate.Builder update = fleet.changesSince(base.revision()).toBuilder();
        if (update.getHasTraffic()) {
            update.setTraffic(history.encode(update.getTraffic(), base.trafficVersion()));
        }
        return Optional.of(update);
    }

    /**
     * Records that changes are sent.
     *
     * @param newRevision revision up to which they were sent
     * @param newTrafficVersion version of the traffic configuration at that revision
     * @param connection number of the connection that carries them
     */
    public void onChangesSent(long newRevision, long newTrafficVersion, long connection, long nowMillis) {
        if (!continues(newRevision, connection, nowMillis)) {
            lostUpdates = awaitsAcknowledgement() ? Math.min(lostUpdates + 1, MAX_RESEND_DOUBLINGS) : 0;
            resendAtMillis = nowMillis + (FIRST_RESEND_MILLIS << lostUpdates);
        }
        heldSinceMillis = Long.MAX_VALUE;
        sent = new Base(newRevision, newTrafficVersion);
        sentConnection = connection;
        sentMillis = nowMillis;
    }

    /** Records that changes up to a revision are there; those that may not be sent yet are held from now on. */
    public void onChanges(long fleetRevision, long nowMillis) {
        if (fleetRevision > Math.max(acknowledged.revision(), sent.revision())) {
            heldSinceMillis = Math.min(heldSinceMillis, nowMillis);
        }
    }

    /** Returns for how long the oldest of the changes that were not sent yet has been held, in milliseconds. */
    public long heldMillis(long nowMillis) {
        return Math.max(0, nowMillis - heldSinceMillis);
    }

    /** Whether changes were sent that the instance has not acknowledged. */
    public boolean awaitsAcknowledgement() {
        return sent.revision() > acknowledged.revision();
    }

    /**
     * Whether what is sent next repeats changes that the instance has not acknowledged.
     *
     * @param fleetRevision revision up to which changes can be sent
     * @param connection number of the connection to the instance
     */
    public boolean repeats(long fleetRevision, long connection, long nowMillis) {
        return awaitsAcknowledgement() && !continues(fleetRevision, connection, nowMillis);
    }

    /**
     * Whether the instance lacks changes that are neither held nor on their way, as far as that is known.
     *
     * @param fleetRevision revision up to which changes can be sent; that of a replica that lags may be lower than the
     *     instance's
     * @param connection number of the connection to the instance
     */
    public boolean mayReceiveChanges(long fleetRevision, long connection, long nowMillis) {
        return fleetRevision > acknowledged.revision()
                && (!areOnTheirWay(connection, nowMillis) || continues(fleetRevision, connection, nowMillis));
    }

    private boolean areOnTheirWay(long connection, long nowMillis) {
        return awaitsAcknowledgement() && connection == sentConnection && nowMillis < resendAtMillis;
    }

    /** Whether changes can be sent behind those that are on their way: a connection delivers them in this order. */
    private boolean continues(long fleetRevision, long connection, long nowMillis) {
        return areOnTheirWay(connection, nowMillis)
                && fleetRevision > sent.revision()
                && nowMillis >= sentMillis + MAX_HOLD_MILLIS;
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
        return acknowledged.revision();
    }
}
