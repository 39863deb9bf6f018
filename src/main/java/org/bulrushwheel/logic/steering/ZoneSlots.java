package org.bulrushwheel.logic.steering;

import org.bulrushwheel.logic.budget.SlotPoolHolder;

/**
 * One pool as an instance uses it, with what it has asked for.
 *
 * <p>Not thread safe: owned by one {@link ServiceSlots}.
 */
final class ZoneSlots {
    private final PoolReference reference;
    private final SlotPoolHolder holder;
    private final OutlierDetector outliers = new OutlierDetector();
    private int asked;
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

    int asked() {
        return asked;
    }

    void asked(int wanted) {
        asked = wanted;
    }

    void onGranted(int slots) {
        asked = Math.max(0, asked - slots);
    }

    void noteInUse() {
        peakInUse = Math.max(peakInUse, holder.inUse());
    }

    /** Idle slots worth keeping: what the last period needed at its peak and one more. */
    int reserve() {
        return Math.max(0, peakInUse + 1 - holder.inUse());
    }

    /** Starts a new period at each renewal. */
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

    /** Whether this release gives its slot back although others wait here: every fourth does while others are short. */
    boolean returnsThisRelease(int releasesPerReturn) {
        releasesSinceReturn++;
        if (releasesSinceReturn < releasesPerReturn) {
            return false;
        }
        releasesSinceReturn = 0;
        return true;
    }
}
