package org.bulrushwheel.measure.affinity;

import java.util.ArrayList;
import java.util.List;

import org.bulrushwheel.measure.Figure;

/**
 * Compares endpoint selection with and without load sharing between the entry instances, at several request rates and
 * with regions that peak at different times. The baseline shares no loads.
 *
 * <p>Stateless and thread safe.
 */
public final class AffinityMeasurement {
    private static final double[] LOADS = {0.4, 0.6, 0.78, 0.95};
    private static final double[] SWINGS = {0, 0.55};
    // Delay of loads relayed by the control instances: three batching pauses of 100 ms, half of each on average, and
    // the network.
    private static final double SHARING_DELAY_MILLIS = 300;

    private AffinityMeasurement() {}

    /** Simulates every combination of request rate and regional swing; returns three figures for each. */
    public static List<Figure> run(long seed) {
        List<Figure> figures = new ArrayList<>();
        double capacityPerSecond = AffinityWorkload.ofCaseFiles(1, 0).warmCapacityPerSecond();
        for (double swing : SWINGS) {
            for (double load : LOADS) {
                AffinityWorkload workload = AffinityWorkload.ofCaseFiles(load * capacityPerSecond, swing);
                AffinityResult unshared = AffinityRun.run(workload, Double.POSITIVE_INFINITY, seed);
                AffinityResult shared = AffinityRun.run(workload, SHARING_DELAY_MILLIS, seed);
                String name = "objects " + Math.round(load * 100) + "%" + (swing > 0 ? ", waves" : "");
                figures.add(new Figure(name + " in time", "part", unshared.inTimePart(), shared.inTimePart(), seed));
                figures.add(new Figure(name + " lost", "requests", unshared.lost(), shared.lost(), seed));
                figures.add(new Figure(name + " moved in 2 s", "part", unshared.movedPart(), shared.movedPart(), seed));
            }
        }
        return figures;
    }
}
