package org.bulrushwheel.logic.steering;

import java.util.HashSet;
import java.util.Set;

import org.bulrushwheel.logic.budget.SlotPoolHolder;

/**
 * An instance's state for the slot pool of one zone: the slots held, the number requested, and outlier detection.
 *
 * <p>Not thread safe: owned by one {@link ServiceSlots}.
 */
final class ZoneSlots {
    private final PoolReference reference;
    private final SlotPoolHolder holder;
    private final OutlierDetector outliers = new OutlierDetector();
    private final HeldSlots held;
    private Set<String> fullSent = Set.of();
    private boolean awaitsGrant;
    private int requested;
    private int peakInUse;
    private int releasesSinceReturn;
    private long nextRenewalMillis = Long.MIN_VALUE;

    ZoneSlots(PoolReference reference, SlotPoolHolder holder, boolean ownZone) {
        this.reference = reference;
        this.holder = holder;
        this.held = new HeldSlots(holder, ownZone);
    }

    PoolReference reference() {
        return reference;
    }

    SlotPoolHolder holder() {
        return holder;
    }

    OutlierDetector outliers() {
        return outliers;
    }

    HeldSlots held() {
        return held;
    }

    /** Returns the endpoints that may not be used now: those that are ejected and those that have asked for no more. */
    Set<String> avoided(long nowMillis) {
        Set<String> avoided = new HashSet<>(outliers.ejected(nowMillis));
        avoided.addAll(held.full(nowMillis));
        return avoided;
    }

    /** Whether the owner does not know yet which endpoints have asked for no more. */
    boolean fullChanged(long nowMillis) {
        return !held.full(nowMillis).equals(fullSent);
    }

    /** Records that the owner is told which endpoints have asked for no more. */
    void onFullSent(long nowMillis) {
        awaitsGrant = awaitsGrant || fullChanged(nowMillis);
        fullSent = held.full(nowMillis);
    }

    /** Whether the capacity that the owner has reported may still include or lack endpoints that have changed. */
    boolean awaitsGrant() {
        return awaitsGrant;
    }

    int requested() {
        return requested;
    }

    void setRequested(int slotCount) {
        requested = slotCount;
    }

    void onGranted(int slots) {
        awaitsGrant = false;
        requested = Math.max(0, requested - slots);
    }

    void updatePeakInUse() {
        peakInUse = Math.max(peakInUse, holder.inUse());
    }

    /** Returns the number of idle slots to keep: one more than the peak use since the last renewal needed. */
    int reserve() {
        return Math.max(0, peakInUse + 1 - holder.inUse());
    }

    /** Whether the session is due for renewal; if so, schedules the next renewal. */
    boolean renewalDue(long nowMillis, long renewMillis) {
        if (nowMillis < nextRenewalMillis) {
            return false;
        }
        nextRenewalMillis = nowMillis + renewMillis;
        return true;
    }

    void startPeriod() {
        peakInUse = holder.inUse();
    }

    /**
     * Whether a released slot is returned to the owner although local requests are queued: true for one in
     * {@code releasesPerReturn} releases, so that holders without enough slots are served as well.
     */
    boolean shouldReturnSlot(int releasesPerReturn) {
        releasesSinceReturn++;
        if (releasesSinceReturn < releasesPerReturn) {
            return false;
        }
        releasesSinceReturn = 0;
        return true;
    }
}
