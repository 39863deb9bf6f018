package org.bulrushwheel.features;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import org.bulrushwheel.client.HttpAnswer;
import org.bulrushwheel.client.HttpCaller;
import org.bulrushwheel.local.LocalDeployment;
import org.bulrushwheel.local.LocalDeployment.InstancePlan;
import org.bulrushwheel.local.TestConfigurations;
import org.bulrushwheel.standin.StandInBehaviour;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Steps on a deployment in this process. */
public class DeploymentSteps {
    private static final List<String> ZONES = List.of("local-a", "local-b");
    private static final long WAIT_SECONDS = 60;

    private final HttpCaller http = new HttpCaller();
    private final List<HttpAnswer> answers = new ArrayList<>();
    private LocalDeployment deployment;

    @Given("a deployment with two availability zones under an accepted configuration")
    public void startDeployment() {
        deployment = LocalDeployment.start(List.of(
                new InstancePlan("local-a-1", ZONES.get(0), "local", true),
                new InstancePlan("local-b-1", ZONES.get(1), "local", false)));
        ZONES.forEach(
                zone -> deployment.addUpstream(StandInBehaviour.plain("casedesk", "casedesk-" + zone, zone, 4, 0)));
        assertTrue(
                deployment.accept(0, 0, "first", TestConfigurations.document()).isOk());
        assertTrue(deployment.awaitVersion(1, deadlineNanos()));
    }

    @After
    public void stopDeployment() {
        deployment.close();
    }

    @When("a caller in zone {string} reads {string} of {string}")
    public void read(String zone, String path, String service) {
        HttpAnswer lookup = http.get(
                deployment.httpAddress(0),
                "/v1/lookup?service=" + service + "&client=" + TestConfigurations.clientIn(zone));
        String entry = lookup.json().path("entries").path(0).path("address").asText();
        assertEquals(deployment.httpAddress(ZONES.indexOf(zone)), entry);
        answers.add(http.get(entry, "/services/" + service + path));
    }

    @When("a caller sends {word} {string} to the gateway")
    public void send(String method, String path) {
        answers.add(http.call(method, deployment.httpAddress(0), path, Map.of(), new byte[0]));
    }

    @When("a caller sends the refund order {string} with body {string} through zone {string}")
    public void refund(String key, String body, String zone) {
        answers.add(http.call(
                "POST",
                deployment.httpAddress(ZONES.indexOf(zone)),
                "/services/casedesk/refunds",
                Map.of("Idempotency-Key", key),
                body.getBytes(java.nio.charset.StandardCharsets.UTF_8)));
    }

    @When("operator change {string} is accepted from version {long}")
    public void change(String changeId, long version) {
        answers.add(deployment.accept(1, version, changeId, TestConfigurations.document()));
    }

    @When("every instance is restarted")
    public void restartAll() {
        for (int index = 0; index < ZONES.size(); index++) {
            deployment.restart(index);
        }
    }

    @Then("the answer has status {int}")
    public void hasStatus(int status) {
        assertEquals(status, last().status(), last().text());
    }

    @Then("the answer comes from an upstream of {string}")
    public void comesFrom(String service) {
        assertTrue(last().header("Bulrushwheel-Upstream").orElse("").startsWith(service));
    }

    @Then("the refusal is {string} and says {string}")
    public void isRefused(String reason, String runState) {
        assertEquals(reason, last().header("Bulrushwheel-Refusal").orElse(""));
        assertEquals(runState, last().header("Bulrushwheel-Run-State").orElse(""));
    }

    @Then("both answers have the same body")
    public void sameBody() {
        assertEquals(200, answers.get(0).status(), answers.get(0).text());
        assertArrayEquals(answers.get(0).body(), last().body());
    }

    @Then("the refund order {string} ran {int} time")
    public void ran(String key, int times) {
        assertEquals(times, deployment.runs().runsOf(key));
    }

    @Then("the change is refused as {string}")
    public void changeRefused(String reason) {
        assertEquals(reason, last().header("Bulrushwheel-Refusal").orElse(""));
    }

    @Then("the refusal names version {long}")
    public void namesVersion(long version) {
        assertTrue(last().text().contains("version " + version), last().text());
    }

    @Then("the change has become version {long}")
    public void becameVersion(long version) {
        assertEquals(version, last().json().path("version").asLong(), last().text());
    }

    @Then("version {long} is in force on every instance")
    public void inForce(long version) {
        assertTrue(deployment.awaitVersion(version, deadlineNanos()));
    }

    private HttpAnswer last() {
        return answers.get(answers.size() - 1);
    }

    private static long deadlineNanos() {
        return System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
    }
}
