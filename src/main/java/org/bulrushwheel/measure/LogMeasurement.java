package org.bulrushwheel.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.google.protobuf.ByteString;
import org.bulrushwheel.control.ControlClient;
import org.bulrushwheel.control.ControlService;
import org.bulrushwheel.local.LocalDeployment;
import org.bulrushwheel.local.LocalDeployment.InstancePlan;
import org.bulrushwheel.model.proto.ClaimKey;
import org.bulrushwheel.model.proto.Command;
import org.bulrushwheel.model.proto.CommandResult;

/**
 * Synced entries a second of the replicated log on five replicas, bytes and heap of an entry, and the time in which a
 * replica that was down catches up.
 *
 * <p>Stateless and thread safe.
 */
public final class LogMeasurement {
    private static final int REPLICAS = 5;
    private static final int[] OUTSTANDING = {1, 16, 256};
    private static final int MISSED = 1_000;
    private static final int KEYS = 20_000;
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;

    private LogMeasurement() {}

    /** Runs each depth and then a catch-up. */
    public static List<Figure> run() {
        List<InstancePlan> plans = LocalPlans.instances(4 * REPLICAS, REPLICAS);
        try (LocalDeployment deployment = LocalDeployment.start(plans)) {
            ControlClient client = deployment.daemons().get(1).kernel().find(ControlClient.NAME, ControlClient.class);
            claim(client, "first", 100, 1);
            List<Figure> figures = new ArrayList<>();
            double single = 0;
            for (int outstanding : OUTSTANDING) {
                double perSecond = claim(client, "o" + outstanding, 200 * outstanding, outstanding);
                single = single == 0 ? perSecond : single;
                figures.add(new Figure("synced entries, " + outstanding + " outstanding", "1/s", single, perSecond, 0));
            }
            addSizes(figures, deployment, client);
            addCatchUp(figures, deployment, client);
            return figures;
        }
    }

    private static void addSizes(List<Figure> figures, LocalDeployment deployment, ControlClient client) {
        long heapBefore = ProcessCost.heapBytes();
        long bytesBefore = logBytes(deployment);
        claim(client, "size", KEYS, 256);
        double keys = KEYS;
        figures.add(new Figure("log of a claim", "bytes", Double.NaN, (logBytes(deployment) - bytesBefore) / keys, 0));
        figures.add(new Figure(
                "heap of a claim, state and log, a replica",
                "bytes",
                Double.NaN,
                (ProcessCost.heapBytes() - heapBefore) / keys / REPLICAS,
                0));
    }

    private static long logBytes(LocalDeployment deployment) {
        return deployment.daemons().get(0).metrics().meter("control.log.bytes").getCount();
    }

    private static void addCatchUp(List<Figure> figures, LocalDeployment deployment, ControlClient client) {
        int down = AcceptMeasurement.leaderOf(deployment) == 0 ? 4 : 0;
        deployment.kill(down);
        claim(client, "missed", MISSED, 16);
        long committed = committed(deployment, AcceptMeasurement.leaderOf(deployment));
        long startNanos = System.nanoTime();
        deployment.startAgain(down);
        LocalDeployment.await(
                () -> committed(deployment, down) >= committed, System.nanoTime() + TimeUnit.SECONDS.toNanos(30));
        double millis = (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
        figures.add(new Figure("start and catch-up of 1,000 missed entries", "ms", Double.NaN, millis, 0));
    }

    private static long committed(LocalDeployment deployment, int index) {
        return deployment
                .daemons()
                .get(index)
                .kernel()
                .find(ControlService.NAME, ControlService.class)
                .status()
                .appliedIndex();
    }

    private static double claim(ControlClient client, String prefix, int count, int outstanding) {
        Semaphore permits = new Semaphore(outstanding);
        AtomicLong claimed = new AtomicLong();
        long startNanos = System.nanoTime();
        for (int index = 0; index < count; index++) {
            permits.acquireUninterruptibly();
            propose(client, prefix + "-" + index).whenComplete((result, error) -> {
                if (error == null && result.getKind() == CommandResult.Kind.KEY_CLAIMED) {
                    claimed.incrementAndGet();
                }
                permits.release();
            });
        }
        permits.acquireUninterruptibly(outstanding);
        if (claimed.get() < count) {
            throw new IllegalStateException("only " + claimed.get() + " of " + count + " claims were made");
        }
        return count / ((System.nanoTime() - startNanos) / NANOS_PER_SECOND);
    }

    private static CompletableFuture<CommandResult> propose(ControlClient client, String key) {
        ClaimKey claim = ClaimKey.newBuilder()
                .setService(LocalPlans.SERVICE)
                .setKey(key)
                .setClaimId(java.util.UUID.randomUUID().toString())
                .setRequestDigest(ByteString.copyFrom(new byte[32]))
                .build();
        return client.propose(Command.newBuilder().setClaimKey(claim).build(), TIMEOUT_MILLIS);
    }
}
