package org.bulrushwheel.logic.budget;

/**
 * Tells whether this instance's own link is busy with what it receives, so that a late connection is not taken for a
 * failed endpoint.
 *
 * <p>Invariant: constant memory; without a known capacity the link is never busy. Not thread safe.
 */
public final class LinkLoad {
    private static final long BUCKET_MILLIS = 50;
    private static final int BUCKETS = 8;
    // A large answer alone fills the link for the time that it takes; what follows it waits as long.
    private static final double BUSY_FRACTION = 0.4;

    private final double bytesPerSecond;
    private final long[] bytes = new long[BUCKETS];
    private final long[] bucketNumbers = new long[BUCKETS];

    /** Creates the load of a link that receives at most this much; 0 if its capacity is unknown. */
    public LinkLoad(double bytesPerSecond) {
        this.bytesPerSecond = bytesPerSecond;
    }

    /** Records received bytes. */
    public void onReceived(long count, long nowMillis) {
        long number = nowMillis / BUCKET_MILLIS;
        int index = (int) (number % BUCKETS);
        if (bucketNumbers[index] != number) {
            bucketNumbers[index] = number;
            bytes[index] = 0;
        }
        bytes[index] += count;
    }

    /** Whether the link was mostly in use during the last 400 ms. */
    public boolean isBusy(long nowMillis) {
        long oldest = nowMillis / BUCKET_MILLIS - BUCKETS;
        long received = 0;
        for (int index = 0; index < BUCKETS; index++) {
            received += bucketNumbers[index] > oldest ? bytes[index] : 0;
        }
        double capacity = bytesPerSecond * BUCKETS * BUCKET_MILLIS / 1_000;
        return capacity > 0 && received >= BUSY_FRACTION * capacity;
    }
}
