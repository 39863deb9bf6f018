package org.bulrushwheel.logic.budget;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * An instance's share of the links from other regions, in bytes a second. Shares are split evenly and never lent, so
 * their sum is below the link's capacity without any message.
 *
 * <p>Invariant: a region may be used only while what was carried in the last second, with one answer of the usual size,
 * stays within the share. Not thread safe.
 */
public final class LinkMeter {
    private static final long WINDOW_MILLIS = 1_000;
    private static final double SMOOTHING = 0.1;

    private record Carried(long atMillis, long bytes) {}

    private static final class Usage {
        private final Deque<Carried> carried = new ArrayDeque<>();
        private long bytes;
        private double usualBytes;
        private int open;
    }

    private final Map<String, Usage> usageByRegion = new HashMap<>();

    /** Whether another request to the region fits into this share. */
    public boolean hasRoom(String region, long shareBytesPerSecond, long nowMillis) {
        Usage usage = usageOf(region, nowMillis);
        return usage.bytes + usage.usualBytes * (usage.open + 1) <= shareBytesPerSecond;
    }

    /** Notes a request that was sent to a region. */
    public void onSent(String region, long nowMillis) {
        usageOf(region, nowMillis).open++;
    }

    /** Notes the end of a request with the bytes that it carried. */
    public void onFinished(String region, long bytes, long nowMillis) {
        Usage usage = usageOf(region, nowMillis);
        usage.open--;
        usage.carried.add(new Carried(nowMillis, bytes));
        usage.bytes += bytes;
        usage.usualBytes += SMOOTHING * (bytes - usage.usualBytes);
    }

    private Usage usageOf(String region, long nowMillis) {
        Usage usage = usageByRegion.computeIfAbsent(region, name -> new Usage());
        while (!usage.carried.isEmpty() && usage.carried.peek().atMillis() <= nowMillis - WINDOW_MILLIS) {
            usage.bytes -= usage.carried.poll().bytes();
        }
        return usage;
    }
}
