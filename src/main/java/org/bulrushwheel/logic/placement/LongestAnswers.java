package org.bulrushwheel.logic.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Longest time that recent requests of each route took until they were answered.
 *
 * <p>Invariant: a time is known for at least one window after it was recorded, and for less than two. Not thread safe:
 * confined to one event loop.
 */
public final class LongestAnswers {
    private static final long WINDOW_MILLIS = 30_000;

    private Map<String, Long> current = new HashMap<>();
    private Map<String, Long> previous = new HashMap<>();
    private long windowEndMillis;

    /** Records how long a request took, in milliseconds. */
    public void record(String route, long tookMillis, long nowMillis) {
        advanceTo(nowMillis);
        current.merge(route, tookMillis, Math::max);
    }

    /** Returns the longest recent time in milliseconds, or empty if no request of the route was answered recently. */
    public OptionalLong longestMillis(String route, long nowMillis) {
        advanceTo(nowMillis);
        long longest = Math.max(current.getOrDefault(route, -1L), previous.getOrDefault(route, -1L));
        return longest < 0 ? OptionalLong.empty() : OptionalLong.of(longest);
    }

    private void advanceTo(long nowMillis) {
        if (nowMillis < windowEndMillis) {
            return;
        }
        boolean isNextWindow = nowMillis < windowEndMillis + WINDOW_MILLIS;
        previous = isNextWindow ? current : new HashMap<>();
        current = new HashMap<>();
        windowEndMillis = (isNextWindow ? windowEndMillis : nowMillis) + WINDOW_MILLIS;
    }
}
