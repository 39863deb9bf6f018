package org.bulrushwheel.measure.affinity;

import java.util.ArrayList;
import java.util.List;

import org.bulrushwheel.measure.Figure;

/**
 * Compares the choice of endpoints with and without loads told, at several loads and with regions that peak by turns; the
 * baseline tells nothing.
 *
 * <p>Stateless and thread safe.
 */
public final class AffinityMeasurement {
    private static final double[] LOADS = {0.4, 0.6, 0.78, 0.95};
    private static final double[] SWINGS = {0, 0.55};
    // The way by the control instances: three pauses of 100 ms, half of each on average, and the network.
    private static final double TELL_MILLIS = 300;

    private AffinityMeasurement() {}

    /** Runs all loads. */
    public static List<Figure> run(long seed) {
        List<Figure> figures = new ArrayList<>();
        double capacityPerSecond = AffinityWorkload.ofCaseFiles(1, 0).warmCapacityPerSecond();
        for (double swing : SWINGS) {
            for (double load : LOADS) {
                AffinityWorkload workload = AffinityWorkload.ofCaseFiles(load * capacityPerSecond, swing);
                AffinityResult alone = AffinityRun.run(workload, Double.POSITIVE_INFINITY, seed);
                AffinityResult told = AffinityRun.run(workload, TELL_MILLIS, seed);
                String name = "objects " + Math.round(load * 100) + "%" + (swing > 0 ? ", waves" : "");
                figures.add(new Figure(name + " in time", "part", alone.inTimePart(), told.inTimePart(), seed));
                figures.add(new Figure(name + " lost", "requests", alone.lost(), told.lost(), seed));
                figures.add(new Figure(name + " moved in 2 s", "part", alone.movedPart(), told.movedPart(), seed));
            }
        }
        return figures;
    }
}
