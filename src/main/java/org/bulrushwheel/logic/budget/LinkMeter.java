package org.bulrushwheel.logic.budget;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Measures how much of its share of the links from other regions an instance uses, in bytes per second. The instances
 * have equal shares and do not lend them, so their sum stays below the link's capacity without any message.
 *
 * <p>Invariant: a region may be used only while the bytes of the last second, plus an answer of average size for each
 * request in flight and the new one, stay within the share; a smaller share admits one request at a time. Not thread
 * safe.
 */
public final class LinkMeter {
    private static final long WINDOW_MILLIS = 1_000;
    private static final double SMOOTHING_FACTOR = 0.1;
    // Larger than most answers, so that a region is not flooded before the first answers have shown their size.
    private static final double INITIAL_ANSWER_BYTES = 64 * 1_024;

    private record Transfer(long atMillis, long bytes) {}

    private static final class Usage {
        private final Deque<Transfer> transfers = new ArrayDeque<>();
        private long bytes;
        private double averageBytes = INITIAL_ANSWER_BYTES;
        private int inFlight;
    }

    private final Map<String, Usage> usageByRegion = new HashMap<>();

    /** Whether another request to the region fits into the given share. */
    public boolean hasRoom(String region, long shareBytesPerSecond, long nowMillis) {
        Usage usage = usageOf(region, nowMillis);
        boolean unused = usage.inFlight == 0 && usage.bytes == 0;
        return (unused && shareBytesPerSecond > 0)
                || usage.bytes + usage.averageBytes * (usage.inFlight + 1) <= shareBytesPerSecond;
    }

    /** Records a request that was sent to a region. */
    public void onSent(String region, long nowMillis) {
        usageOf(region, nowMillis).inFlight++;
    }

    /** Records the end of a request and the number of bytes that it transferred. */
    public void onFinished(String region, long bytes, long nowMillis) {
        Usage usage = usageOf(region, nowMillis);
        usage.inFlight--;
        usage.transfers.add(new Transfer(nowMillis, bytes));
        usage.bytes += bytes;
        usage.averageBytes += SMOOTHING_FACTOR * (bytes - usage.averageBytes);
    }

    private Usage usageOf(String region, long nowMillis) {
        Usage usage = usageByRegion.computeIfAbsent(region, name -> new Usage());
        while (!usage.transfers.isEmpty() && usage.transfers.peek().atMillis() <= nowMillis - WINDOW_MILLIS) {
            usage.bytes -= usage.transfers.poll().bytes();
        }
        return usage;
    }
}
