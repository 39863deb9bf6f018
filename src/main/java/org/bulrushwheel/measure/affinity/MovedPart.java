package org.bulrushwheel.measure.affinity;

import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * How much of a region's requests change the region of their run between windows.
 *
 * <p>Stateless and thread safe.
 */
final class MovedPart {
    // The first windows learn.
    private static final int FIRST_WINDOW = 4;

    private MovedPart() {}

    /** Returns the largest part that moved from one window to the next; runs by callers' region and region of the run. */
    static double largest(List<Map<String, int[]>> runsByWindow) {
        double largest = 0;
        // The last window is cut short.
        for (int window = FIRST_WINDOW; window + 2 < runsByWindow.size(); window++) {
            Map<String, int[]> next = runsByWindow.get(window + 1);
            for (Map.Entry<String, int[]> region : runsByWindow.get(window).entrySet()) {
                largest = Math.max(largest, moved(region.getValue(), next.getOrDefault(region.getKey(), new int[0])));
            }
        }
        return largest;
    }

    private static double moved(int[] before, int[] after) {
        double beforeTotal = Math.max(1, Arrays.stream(before).sum());
        double afterTotal = Math.max(1, Arrays.stream(after).sum());
        double moved = 0;
        for (int region = 0; region < Math.min(before.length, after.length); region++) {
            moved += Math.abs(before[region] / beforeTotal - after[region] / afterTotal) / 2;
        }
        return moved;
    }
}
