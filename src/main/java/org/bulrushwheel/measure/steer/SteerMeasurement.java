package org.bulrushwheel.measure.steer;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

import org.bulrushwheel.measure.Figure;

/**
 * Compares the policies at several loads and with a zone lost; the baseline is the naive one.
 *
 * <p>Stateless and thread safe.
 */
public final class SteerMeasurement {
    private static final double[] LOADS = {0.5, 0.8, 0.95, 1.2};

    private SteerMeasurement() {}

    /** Runs all loads for a deployment. */
    public static List<Figure> run(SteerDeployment deployment, long seed) {
        List<Figure> figures = new ArrayList<>();
        for (double load : LOADS) {
            add(figures, deployment, seed, load, SteerScenario.STEADY);
        }
        add(figures, deployment, seed, 0.6, SteerScenario.ZONE_LOST);
        add(figures, deployment, seed, 0.5, SteerScenario.ENDPOINT_LEAVES);
        return figures;
    }

    /** Runs the product's policy once; for tests. */
    static SteerResult granted(SteerDeployment deployment, long seed, double load, SteerScenario scenario) {
        return run(deployment, seed, load, scenario, GrantedSlotsPolicy::new);
    }

    static SteerResult naive(SteerDeployment deployment, long seed, double load, SteerScenario scenario) {
        return run(deployment, seed, load, scenario, LeastReportedLoadPolicy::new);
    }

    private static SteerResult run(
            SteerDeployment deployment,
            long seed,
            double load,
            SteerScenario scenario,
            Function<SteerWorld, SteerPolicy> policy) {
        SteerWorld world = new SteerWorld(deployment, seed);
        return new SteerRun(world, policy.apply(world), load, scenario).run();
    }

    private static void add(
            List<Figure> figures, SteerDeployment deployment, long seed, double load, SteerScenario scenario) {
        String name = deployment.name() + " " + Math.round(load * 100) + "%" + suffixOf(scenario);
        SteerResult naive = naive(deployment, seed, load, scenario);
        SteerResult twoChoices = run(deployment, seed, load, scenario, OwnCountPolicy::new);
        SteerResult granted = granted(deployment, seed, load, scenario);
        double capacity = SteerRun.capacityPerSecond(deployment);
        figures.add(new Figure(name + " p50", "ms", naive.p50Millis(), granted.p50Millis(), seed));
        figures.add(new Figure(name + " p99", "ms", naive.p99Millis(), granted.p99Millis(), seed));
        figures.add(new Figure(name + " p99, two choices", "ms", naive.p99Millis(), twoChoices.p99Millis(), seed));
        figures.add(new Figure(name + " sheds", "requests", naive.sheds(), granted.sheds(), seed));
        figures.add(new Figure(name + " over a region", "requests", naive.overRegion(), granted.overRegion(), seed));
        figures.add(new Figure(
                name + " goodput of capacity",
                "share",
                naive.answeredPerSecond() / capacity,
                granted.answeredPerSecond() / capacity,
                seed));
        figures.add(new Figure(
                name + " refusals", "a request", naive.refusalsPerRequest(), granted.refusalsPerRequest(), seed));
        figures.add(new Figure(name + " caller gave up", "share", naive.lostShare(), granted.lostShare(), seed));
        figures.add(
                new Figure(name + " narrowest link", "share", naive.worstLinkShare(), granted.worstLinkShare(), seed));
        if (scenario == SteerScenario.ENDPOINT_LEAVES) {
            figures.add(new Figure(name + " last work", "ms", naive.lastWorkMillis(), granted.lastWorkMillis(), seed));
        }
    }

    private static String suffixOf(SteerScenario scenario) {
        return scenario == SteerScenario.STEADY
                ? ""
                : " " + scenario.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ');
    }
}
