package org.bulrushwheel.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.Histogram;
import org.bulrushwheel.client.HttpCaller;
import org.bulrushwheel.local.LocalDeployment;
import org.bulrushwheel.local.LocalDeployment.InstancePlan;
import org.bulrushwheel.standin.StandInBehaviour;
import org.bulrushwheel.standin.StandInUpstream;

/**
 * Latency that the gateway adds on real sockets; the baseline calls the stand-in directly in the same run.
 *
 * <p>Stateless and thread safe.
 */
public final class GatewayMeasurement {
    private static final long REQUESTS_PER_SECOND = 1_000;
    private static final long REQUESTS = 10_000;
    private static final int SLOTS = 64;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final double NANOS_PER_SECOND = 1e9;

    private GatewayMeasurement() {}

    private record Run(Histogram latencyNanos, double cpuNanosPerRequest, long failed) {}

    /** Runs direct and through one entry instance, each after a warm-up of the same size. */
    public static List<Figure> run() {
        List<InstancePlan> plans = LocalPlans.instances(1, 1);
        try (LocalDeployment deployment = LocalDeployment.start(plans)) {
            StandInUpstream upstream = deployment.addUpstream(StandInBehaviour.plain(
                    LocalPlans.SERVICE, "e1", plans.get(0).zone(), SLOTS, 0));
            deployment.accept(0, 0, "first", LocalPlans.document(plans, 0));
            deployment.awaitVersion(1, System.nanoTime() + TimeUnit.SECONDS.toNanos(30));
            String gatewayPath = "/services/" + LocalPlans.SERVICE + "/items";
            load(upstream.address(), "/items");
            load(deployment.httpAddress(0), gatewayPath);
            Run direct = load(upstream.address(), "/items");
            Run gateway = load(deployment.httpAddress(0), gatewayPath);
            return figures(direct, gateway);
        }
    }

    private static List<Figure> figures(Run direct, Run gateway) {
        List<Figure> figures = new ArrayList<>();
        for (double percentile : new double[] {50, 99, 99.9}) {
            double directMillis = direct.latencyNanos().getValueAtPercentile(percentile) / NANOS_PER_MILLI;
            double gatewayMillis = gateway.latencyNanos().getValueAtPercentile(percentile) / NANOS_PER_MILLI;
            String name = "p" + (percentile == 99.9 ? "99.9" : Math.round(percentile));
            figures.add(new Figure(name + " at 1,000/s, direct and through", "ms", directMillis, gatewayMillis, 0));
            figures.add(new Figure(name + " added", "ms", Double.NaN, gatewayMillis - directMillis, 0));
        }
        double addedNanos = gateway.cpuNanosPerRequest() - direct.cpuNanosPerRequest();
        figures.add(new Figure("processor time added", "us/request", Double.NaN, addedNanos / NANOS_PER_MICRO, 0));
        figures.add(new Figure(
                "requests a core by that", "1/s", Double.NaN, NANOS_PER_SECOND / Math.max(1, addedNanos), 0));
        figures.add(new Figure("failed", "requests", direct.failed(), gateway.failed(), 0));
        return figures;
    }

    private static Run load(String address, String path) {
        OpenLoopLoad load = new OpenLoopLoad();
        long cpuBefore = ProcessCost.cpuNanos();
        HttpCaller caller = new HttpCaller();
        Histogram latencyNanos = load.run(
                REQUESTS_PER_SECOND, REQUESTS, number -> caller.callAsync("GET", address, path, Map.of(), new byte[0]));
        return new Run(latencyNanos, (ProcessCost.cpuNanos() - cpuBefore) / (double) REQUESTS, load.failed());
    }
}
