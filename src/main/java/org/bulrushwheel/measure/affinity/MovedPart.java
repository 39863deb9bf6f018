package org.bulrushwheel.measure.affinity;

import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * Computes the largest share of a region's requests that changes the executing region between consecutive windows.
 *
 * <p>Stateless and thread safe.
 */
final class MovedPart {
    // The first windows are skipped as warm-up.
    private static final int FIRST_WINDOW = 4;

    private MovedPart() {}

    /**
     * Returns the largest share that moved between consecutive windows.
     *
     * @param runsByWindow for each window, request counts per executing region, keyed by the region of the callers
     */
    static double largest(List<Map<String, int[]>> runsByWindow) {
        double largest = 0;
        // The last window is skipped because it may be incomplete.
        for (int window = FIRST_WINDOW; window + 2 < runsByWindow.size(); window++) {
            Map<String, int[]> next = runsByWindow.get(window + 1);
            for (Map.Entry<String, int[]> region : runsByWindow.get(window).entrySet()) {
                largest = Math.max(
                        largest, movedShare(region.getValue(), next.getOrDefault(region.getKey(), new int[0])));
            }
        }
        return largest;
    }

    private static double movedShare(int[] before, int[] after) {
        double beforeTotal = Math.max(1, Arrays.stream(before).sum());
        double afterTotal = Math.max(1, Arrays.stream(after).sum());
        double movedShare = 0;
        for (int region = 0; region < Math.min(before.length, after.length); region++) {
            movedShare += Math.abs(before[region] / beforeTotal - after[region] / afterTotal) / 2;
        }
        return movedShare;
    }
}
