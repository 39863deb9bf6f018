package org.bulrushwheel.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.Histogram;
import org.bulrushwheel.client.HttpAnswer;
import org.bulrushwheel.control.ControlService;
import org.bulrushwheel.daemon.Daemon;
import org.bulrushwheel.local.LocalDeployment;
import org.bulrushwheel.local.LocalDeployment.InstancePlan;
import org.bulrushwheel.logic.raft.RaftRole;

/**
 * Time from the call that accepts a configuration to the moment at which it is in force on all of 24 daemons.
 *
 * <p>Stateless and thread safe.
 */
public final class AcceptMeasurement {
    private static final int DAEMONS = 24;
    private static final int REPLICAS = 5;
    private static final int ROUNDS = 50;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final long WAIT_SECONDS = 30;

    private AcceptMeasurement() {}

    /** Runs rounds in quiet, and one in which the leader is stopped without notice just before. */
    public static List<Figure> run() {
        List<InstancePlan> plans = LocalPlans.instances(DAEMONS, REPLICAS);
        try (LocalDeployment deployment = LocalDeployment.start(plans)) {
            deployment.accept(1, 0, "first", LocalPlans.document(plans, 0));
            deployment.awaitVersion(1, deadlineNanos());
            Histogram nanos = new Histogram(3);
            for (int round = 1; round <= ROUNDS; round++) {
                nanos.recordValue(accept(deployment, plans, round));
            }
            List<Figure> figures = new ArrayList<>();
            figures.add(figure("accept to in force on 24, p50", nanos.getValueAtPercentile(50)));
            figures.add(figure("accept to in force on 24, p99", nanos.getValueAtPercentile(99)));
            figures.add(figure("accept to in force on 24, most", nanos.getMaxValue()));
            int leader = leaderOf(deployment);
            deployment.kill(leader);
            figures.add(figure("with the leader lost just before, on 23", accept(deployment, plans, ROUNDS + 1)));
            return figures;
        }
    }

    private static long accept(LocalDeployment deployment, List<InstancePlan> plans, int round) {
        long startNanos = System.nanoTime();
        HttpAnswer answer = deployment.accept(1, round, "change-" + round, LocalPlans.document(plans, round));
        if (!answer.isOk()) {
            throw new IllegalStateException("not accepted: " + answer.text());
        }
        if (!deployment.awaitVersion(round + 1, deadlineNanos())) {
            throw new IllegalStateException("version " + (round + 1) + " is not in force everywhere");
        }
        return System.nanoTime() - startNanos;
    }

    static int leaderOf(LocalDeployment deployment) {
        List<Daemon> daemons = deployment.daemons();
        for (int index = 0; index < daemons.size(); index++) {
            if (daemons.get(index).settings().dataPath().isPresent()
                    && daemons.get(index)
                                    .kernel()
                                    .find(ControlService.NAME, ControlService.class)
                                    .status()
                                    .role()
                            == RaftRole.LEADER) {
                return index;
            }
        }
        throw new IllegalStateException("no replica leads");
    }

    private static Figure figure(String name, long nanos) {
        return new Figure(name, "ms", Double.NaN, nanos / NANOS_PER_MILLI, 0);
    }

    private static long deadlineNanos() {
        return System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
    }
}
