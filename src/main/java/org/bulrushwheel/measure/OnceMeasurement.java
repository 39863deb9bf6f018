package org.bulrushwheel.measure;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.Histogram;
import org.bulrushwheel.client.HttpAnswer;
import org.bulrushwheel.client.HttpCaller;
import org.bulrushwheel.local.LocalDeployment;
import org.bulrushwheel.local.LocalDeployment.InstancePlan;
import org.bulrushwheel.standin.StandInBehaviour;

/**
 * What a claim of the run ledger adds; the baseline is the same service's route without a claim.
 *
 * <p>Stateless and thread safe.
 */
public final class OnceMeasurement {
    private static final long[] RATES = {100, 300, 1_000};
    private static final long SECONDS = 5;
    private static final int REPLICAS = 5;
    private static final int SLOTS = 64;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final HttpCaller CALLER = new HttpCaller();

    private OnceMeasurement() {}

    /** Runs several rates on five replicas. */
    public static List<Figure> run() {
        List<InstancePlan> plans = LocalPlans.instances(4 * REPLICAS, REPLICAS);
        try (LocalDeployment deployment = LocalDeployment.start(plans)) {
            deployment.addUpstream(StandInBehaviour.plain(
                    LocalPlans.SERVICE, "e1", plans.get(1).zone(), SLOTS, 0));
            deployment.accept(0, 0, "first", LocalPlans.document(plans, 0));
            deployment.awaitVersion(1, System.nanoTime() + TimeUnit.SECONDS.toNanos(30));
            String base = "/services/" + LocalPlans.SERVICE;
            List<Figure> figures = new ArrayList<>();
            for (long rate : RATES) {
                run(deployment, base, rate, rate, "w" + rate);
                OpenLoopLoad free = new OpenLoopLoad();
                Histogram without = free.run(rate, rate * SECONDS, number -> post(deployment, base + "/items", "x"));
                OpenLoopLoad claimed = run(deployment, base, rate, rate * SECONDS, "k" + rate);
                add(figures, rate, without, claimed, free.failed());
            }
            return figures;
        }
    }

    private static OpenLoopLoad run(LocalDeployment deployment, String base, long rate, long count, String prefix) {
        OpenLoopLoad load = new OpenLoopLoad();
        load.run(rate, count, number -> post(deployment, base + "/refunds", prefix + "-" + number));
        return load;
    }

    private static CompletableFuture<HttpAnswer> post(LocalDeployment deployment, String path, String key) {
        return CALLER.callAsync(
                "POST",
                deployment.httpAddress(1),
                path,
                Map.of("Idempotency-Key", key),
                key.getBytes(StandardCharsets.UTF_8));
    }

    private static void add(List<Figure> figures, long rate, Histogram without, OpenLoopLoad claimed, long freeFailed) {
        for (double percentile : new double[] {50, 99}) {
            figures.add(new Figure(
                    rate + " claims/s: p" + Math.round(percentile) + " without and with",
                    "ms",
                    without.getValueAtPercentile(percentile) / NANOS_PER_MILLI,
                    claimed.latency().getValueAtPercentile(percentile) / NANOS_PER_MILLI,
                    0));
        }
        figures.add(new Figure(rate + " claims/s: failed", "requests", freeFailed, claimed.failed(), 0));
    }
}
