package org.bulrushwheel.logic.budget;

/**
 * Estimates how long bytes wait in this instance's own link before they arrive, from the times of regular messages of one
 * sender: a message that takes longer than the fastest one of the last seconds has waited.
 *
 * <p>Invariants: the clocks of sender and receiver are never compared, only their differences between messages; without a
 * recent message of the sender, or while a message is not overdue and the last one did not wait, the delay is 0. Not
 * thread safe.
 */
public final class ArrivalDelay {
    // Many intervals long; a change of the path, or a sender that was suspended, distorts the estimate for two windows.
    private static final long WINDOW_MILLIS = 5_000;
    // No link holds up bytes for longer: the sender's clock has started anew, or nothing comes from it any more.
    private static final long MAX_TRANSIT_MILLIS = 5_000;
    // A sender that stood still looks like a link that is full.
    private static final long MAX_DELAY_MILLIS = 1_000;

    private final long intervalMillis;
    private String sender = "";
    private long currentMinMillis;
    private long previousMinMillis;
    private long windowEndMillis;
    private long arrivedMillis;
    private long lastDelayMillis;

    /**
     * Creates an estimate without messages.
     *
     * @param intervalMillis longest time between two messages when none has to wait
     */
    public ArrivalDelay(long intervalMillis) {
        this.intervalMillis = intervalMillis;
    }

    /**
     * Records a message.
     *
     * @param from its sender; messages of another one start anew
     * @param sentMillis monotonic time of the sender
     */
    public void onMessage(String from, long sentMillis, long nowMillis) {
        long transitMillis = nowMillis - sentMillis;
        boolean clockJumped = transitMillis - Math.min(currentMinMillis, previousMinMillis) > MAX_TRANSIT_MILLIS;
        if (!from.equals(sender) || clockJumped) {
            sender = from;
            windowEndMillis = Long.MIN_VALUE;
        }
        if (nowMillis >= windowEndMillis) {
            boolean isNextWindow = nowMillis < windowEndMillis + WINDOW_MILLIS;
            previousMinMillis = isNextWindow ? currentMinMillis : transitMillis;
            currentMinMillis = transitMillis;
            windowEndMillis = nowMillis + WINDOW_MILLIS;
        }
        currentMinMillis = Math.min(currentMinMillis, transitMillis);
        lastDelayMillis = transitMillis - Math.min(currentMinMillis, previousMinMillis);
        arrivedMillis = nowMillis;
    }

    /** Returns how long what arrives now has waited, in milliseconds. */
    public long millis(long nowMillis) {
        long silentMillis = nowMillis - arrivedMillis;
        if (sender.isEmpty() || silentMillis > MAX_TRANSIT_MILLIS) {
            return 0;
        }
        long overdueMillis = silentMillis - intervalMillis;
        return Math.min(MAX_DELAY_MILLIS, Math.max(lastDelayMillis, Math.max(0, overdueMillis)));
    }
}
