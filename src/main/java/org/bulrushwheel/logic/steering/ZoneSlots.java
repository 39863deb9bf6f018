package org.bulrushwheel.logic.steering;

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
    private int requested;
    private int peakInUse;
    private int releasesSinceReturn;
    private long nextRenewalMillis = Long.MIN_VALUE;

    ZoneSlots(PoolReference reference, SlotPoolHolder holder) {
        this.reference = reference;
        this.holder = holder;
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

    int requested() {
        return requested;
    }

    void setRequested(int slotCount) {
        requested = slotCount;
    }

    void onGranted(int slots) {
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
