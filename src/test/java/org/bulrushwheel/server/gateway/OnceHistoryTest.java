package org.bulrushwheel.server.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.bulrushwheel.client.HttpAnswer;
import org.bulrushwheel.client.HttpCaller;
import org.bulrushwheel.control.ControlService;
import org.bulrushwheel.local.LocalDeployment;
import org.bulrushwheel.local.LocalDeployment.InstancePlan;
import org.bulrushwheel.local.TestConfigurations;
import org.bulrushwheel.logic.raft.RaftRole;
import org.bulrushwheel.standin.StandInBehaviour;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Sends requests with the same idempotency keys concurrently to several instances, kills the control leader meanwhile,
 * and checks the answers against the requests that upstreams ran.
 */
class OnceHistoryTest {
    private static final int CALLERS = 6;
    private static final int CALLS = 40;
    private static final int KEYS = 30;
    private static final List<InstancePlan> PLANS = List.of(
            new InstancePlan("a-1", "local-a", "local", true),
            new InstancePlan("b-1", "local-b", "local", true),
            new InstancePlan("c-1", "local-c", "local", true),
            new InstancePlan("a-2", "local-a", "local", false));

    private record Call(String key, HttpAnswer answer) {}

    private final HttpCaller http = new HttpCaller();
    private final Queue<Call> history = new ConcurrentLinkedQueue<>();

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void keyRunsAtMostOnceAndRunStatesAreCorrect(long seed) throws InterruptedException {
        try (LocalDeployment deployment = LocalDeployment.start(PLANS)) {
            deployment.addUpstream(StandInBehaviour.plain("casedesk", "e1", "local-a", 32, 1));
            deployment.addUpstream(StandInBehaviour.plain("casedesk", "e2", "local-b", 32, 1));
            assertTrue(LocalDeployment.await(
                    () -> deployment
                            .accept(0, 0, "first", TestConfigurations.document())
                            .isOk(),
                    System.nanoTime() + TimeUnit.SECONDS.toNanos(30)));
            assertTrue(deployment.awaitVersion(1, System.nanoTime() + TimeUnit.SECONDS.toNanos(30)));
            List<Thread> callers = new ArrayList<>();
            for (int caller = 0; caller < CALLERS; caller++) {
                Random random = new Random(seed * 100 + caller);
                callers.add(new Thread(() -> send(deployment, random)));
            }
            callers.forEach(Thread::start);
            Thread.sleep(300);
            deployment.kill(leaderOf(deployment));
            for (Thread caller : callers) {
                caller.join();
            }
            check(deployment);
        }
    }

    private void send(LocalDeployment deployment, Random random) {
        for (int call = 0; call < CALLS; call++) {
            String key = "k" + random.nextInt(KEYS);
            String address = deployment.httpAddress(random.nextInt(PLANS.size()));
            HttpAnswer answer = http.call(
                    "POST",
                    address,
                    "/services/casedesk/refunds",
                    Map.of("Idempotency-Key", key),
                    key.getBytes(java.nio.charset.StandardCharsets.UTF_8));
            history.add(new Call(key, answer));
        }
    }

    private void check(LocalDeployment deployment) {
        Map<String, List<HttpAnswer>> answersByKey = history.stream()
                .collect(Collectors.groupingBy(Call::key, Collectors.mapping(Call::answer, Collectors.toList())));
        long answered = history.stream().filter(call -> call.answer().isOk()).count();
        assertTrue(answered > CALLERS * CALLS / 4, "only " + answered + " calls were answered");
        answersByKey.forEach(
                (key, answers) -> checkKey(key, answers, deployment.runs().runsOf(key)));
    }

    private static void checkKey(String key, List<HttpAnswer> answers, int runs) {
        assertTrue(runs <= 1, key + " ran " + runs + " times");
        List<HttpAnswer> ok = answers.stream().filter(HttpAnswer::isOk).toList();
        ok.forEach(answer -> assertArrayEquals(ok.get(0).body(), answer.body(), key));
        assertTrue(ok.isEmpty() || runs == 1, key + " was answered but did not run");
        boolean allSayNotRun = answers.stream()
                .allMatch(answer ->
                        answer.header("Bulrushwheel-Run-State").orElse("").equals("not-run"));
        assertEquals(true, !allSayNotRun || runs == 0, key + " ran although every answer says not-run");
    }

    private static int leaderOf(LocalDeployment deployment) {
        for (int index = 0; index < 3; index++) {
            ControlService control =
                    deployment.daemons().get(index).kernel().find(ControlService.NAME, ControlService.class);
            if (control.status().role() == RaftRole.LEADER) {
                return index;
            }
        }
        throw new IllegalStateException("no control replica is the leader");
    }
}
