package org.bulrushwheel.cli;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.bulrushwheel.client.HttpAnswer;
import org.bulrushwheel.client.HttpCaller;
import org.bulrushwheel.local.LocalDeployment;
import org.bulrushwheel.local.LocalDeployment.InstancePlan;
import org.bulrushwheel.logic.config.ConfigurationCodec;
import org.bulrushwheel.logic.config.ConfigurationGenerator;
import org.bulrushwheel.logic.config.QuestionnaireAnswers;
import org.bulrushwheel.standin.StandInBehaviour;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Shows the main job in one process. */
@Command(
        name = "quickstart",
        mixinStandardHelpOptions = true,
        description = "Run a whole small deployment in this process, send requests through it and show what happened.")
final class QuickstartCommand implements Callable<Integer> {
    private static final List<String> SERVICES = List.of("casedesk", "docvault");
    private static final List<InstancePlan> INSTANCES = List.of(
            new InstancePlan("local-a-1", "local-a", "local", true),
            new InstancePlan("local-b-1", "local-b", "local", false));
    private static final int UPSTREAMS_PER_ZONE = 2;
    private static final int SLOTS = 4;
    private static final long SERVICE_MILLIS = 2;
    private static final long START_SECONDS = 30;

    @Option(names = "--requests", defaultValue = "200", description = "Requests to send (${DEFAULT-VALUE}).")
    private int requests;

    @Option(names = "--keep", description = "Keep running and print calls to try.")
    private boolean keep;

    @Override
    public Integer call() throws InterruptedException {
        try (LocalDeployment deployment = LocalDeployment.start(INSTANCES)) {
            startUpstreams(deployment);
            accept(deployment);
            QuickstartTable table = new QuickstartTable();
            send(deployment, table);
            table.print(System.out);
            System.out.printf(
                    "quickstart: %d sent, %d answered, %d failed%n", table.sent(), table.answered(), table.failed());
            if (keep) {
                keepRunning(deployment);
            }
            return table.failed() == 0 ? ExitCodes.DONE : ExitCodes.FAILED;
        }
    }

    private static void startUpstreams(LocalDeployment deployment) {
        for (String service : SERVICES) {
            for (InstancePlan instance : INSTANCES) {
                for (int index = 1; index <= UPSTREAMS_PER_ZONE; index++) {
                    deployment.addUpstream(StandInBehaviour.plain(
                            service,
                            service + "-" + instance.zone() + "-" + index,
                            instance.zone(),
                            SLOTS,
                            SERVICE_MILLIS));
                }
            }
        }
    }

    private static void accept(LocalDeployment deployment) {
        QuestionnaireAnswers answers = ConfigurationCodec.read(shippedAnswers(), QuestionnaireAnswers.class)
                .getOrElseThrow(fault -> new IllegalStateException(fault));
        String document = ConfigurationCodec.write(ConfigurationGenerator.generate(answers));
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_SECONDS);
        Answers.requireOk(deployment.accept(1, 0, "quickstart", document), deployment.httpAddress(1));
        if (!deployment.awaitVersion(1, deadlineNanos)) {
            throw new IllegalStateException("the configuration is not in force after " + START_SECONDS + " s");
        }
        System.out.println("accepted configuration version 1, in force on " + INSTANCES.size() + " entry instances");
    }

    private void send(LocalDeployment deployment, QuickstartTable table) {
        HttpCaller http = new HttpCaller();
        for (int index = 0; index < requests; index++) {
            String service = SERVICES.get(index % SERVICES.size());
            String asked = deployment.httpAddress(index / SERVICES.size() % INSTANCES.size());
            HttpAnswer lookup = Answers.requireOk(http.get(asked, "/v1/lookup?service=" + service), asked);
            String entry = lookup.json().path("entries").path(0).path("address").asText();
            String zone = lookup.json().path("entries").path(0).path("zone").asText();
            long startedNanos = System.nanoTime();
            HttpAnswer answer = http.get(entry, "/services/" + service + "/items/" + index);
            table.add(zone, service, answer.status(), System.nanoTime() - startedNanos);
        }
    }

    private static void keepRunning(LocalDeployment deployment) throws InterruptedException {
        String entry = deployment.httpAddress(0);
        System.out.println("\nstill running; try:");
        System.out.println("  curl -s 'http://" + entry + "/v1/lookup?service=casedesk'");
        System.out.println("  curl -si http://" + entry + "/services/casedesk/items/1");
        System.out.println(
                "  curl -si -X POST -H 'Idempotency-Key: k1' -d 'x' http://" + entry + "/services/casedesk/refunds");
        System.out.println("  curl -s http://" + entry + "/metrics");
        System.out.println("  curl -s -H 'Authorization: Bearer " + deployment.token() + "' http://" + entry
                + "/v1/admin/configuration");
        new CountDownLatch(1).await();
    }

    private static String shippedAnswers() {
        try (InputStream stream = QuickstartCommand.class.getResourceAsStream("/quickstart-answers.toml")) {
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalStateException("the shipped answers cannot be read; build the program again", e);
        }
    }
}
