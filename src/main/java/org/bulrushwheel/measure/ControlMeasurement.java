package org.bulrushwheel.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.bulrushwheel.daemon.Daemon;
import org.bulrushwheel.local.LocalDeployment;
import org.bulrushwheel.local.LocalDeployment.InstancePlan;

/**
 * What control costs one daemon without callers: bytes, frames, processor time and heap, at several fleet sizes, with
 * one change of configuration a second. The baseline is the smallest fleet.
 *
 * <p>A first run that is not counted warms the code up. Stateless and thread safe.
 */
public final class ControlMeasurement {
    private static final int[] FLEETS = {8, 24, 48};
    private static final int REPLICAS = 5;
    private static final long SETTLE_MILLIS = 6_000;
    private static final int SECONDS = 10;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double BYTES_PER_MEGABYTE = 1e6;

    private ControlMeasurement() {}

    private record Run(double bytesPerSecond, double framesPerSecond, double cpuShare, double heapMegabytes) {}

    /** Runs each fleet. */
    public static List<Figure> run() {
        List<Figure> figures = new ArrayList<>();
        Run first = null;
        run(FLEETS[0]);
        for (int fleet : FLEETS) {
            Run run = run(fleet);
            first = first == null ? run : first;
            String name = fleet + " daemons: ";
            figures.add(
                    new Figure(name + "sent and received", "bytes/s", first.bytesPerSecond(), run.bytesPerSecond(), 0));
            figures.add(new Figure(name + "frames", "1/s", first.framesPerSecond(), run.framesPerSecond(), 0));
            figures.add(new Figure(name + "processor", "% of core", first.cpuShare(), run.cpuShare(), 0));
            figures.add(new Figure(name + "heap", "MB", first.heapMegabytes(), run.heapMegabytes(), 0));
        }
        return figures;
    }

    private static Run run(int fleet) {
        List<InstancePlan> plans = LocalPlans.instances(fleet, REPLICAS);
        long heapBefore = ProcessCost.heapBytes();
        try (LocalDeployment deployment = LocalDeployment.start(plans)) {
            deployment.accept(0, 0, "first", LocalPlans.document(plans, 0));
            deployment.awaitVersion(1, System.nanoTime() + TimeUnit.SECONDS.toNanos(30));
            sleep(SETTLE_MILLIS);
            long bytes = sum(deployment, "peers.bytes.sent") + sum(deployment, "peers.bytes.received");
            long frames = sum(deployment, "peers.frames.sent") + sum(deployment, "peers.frames.received");
            long cpuNanos = ProcessCost.cpuNanos();
            for (int second = 1; second <= SECONDS; second++) {
                deployment.accept(0, second, "change-" + second, LocalPlans.document(plans, second));
                sleep(1_000);
            }
            double perDaemon = fleet * (double) SECONDS;
            cpuNanos = ProcessCost.cpuNanos() - cpuNanos;
            bytes = sum(deployment, "peers.bytes.sent") + sum(deployment, "peers.bytes.received") - bytes;
            frames = sum(deployment, "peers.frames.sent") + sum(deployment, "peers.frames.received") - frames;
            double heap = (ProcessCost.heapBytes() - heapBefore) / BYTES_PER_MEGABYTE / fleet;
            return new Run(bytes / perDaemon, frames / perDaemon, 100 * cpuNanos / NANOS_PER_SECOND / perDaemon, heap);
        }
    }

    private static long sum(LocalDeployment deployment, String meter) {
        return deployment.daemons().stream()
                .map(Daemon::metrics)
                .mapToLong((MetricRegistry metrics) -> metrics.meter(meter).getCount())
                .sum();
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
