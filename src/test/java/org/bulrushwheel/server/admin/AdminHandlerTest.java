package org.bulrushwheel.server.admin;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.bulrushwheel.client.HttpAnswer;
import org.bulrushwheel.client.HttpCaller;
import org.bulrushwheel.local.LocalDeployment;
import org.bulrushwheel.local.LocalDeployment.InstancePlan;
import org.bulrushwheel.local.TestConfigurations;
import org.bulrushwheel.logic.config.ConfigurationCodec;
import org.bulrushwheel.logic.control.TeamScope;
import org.bulrushwheel.model.config.Configuration;
import org.bulrushwheel.model.config.Route;
import org.bulrushwheel.model.config.ServiceDefinition;
import org.bulrushwheel.model.config.Team;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class AdminHandlerTest {
    private static final String VIEWER_TOKEN = "viewer-token";
    private static final String DESK_TOKEN = "desk-token";
    private static final HttpCaller HTTP = new HttpCaller();

    private static LocalDeployment deployment;

    @BeforeAll
    static void start() {
        deployment = LocalDeployment.start(List.of(new InstancePlan("local-a-1", "local-a", "local", true)));
        assertTrue(deployment
                .accept(0, 0, "first", ConfigurationCodec.write(twoTeams()))
                .isOk());
        assertTrue(deployment.awaitVersion(1, System.nanoTime() + TimeUnit.SECONDS.toNanos(30)));
        assertEquals(200, put("viewer", "", "VIEWER", VIEWER_TOKEN).status());
        assertEquals(200, put("editor", "desk", "EDITOR", DESK_TOKEN).status());
    }

    @AfterAll
    static void stop() {
        deployment.close();
    }

    @ParameterizedTest
    @CsvSource({
        "wrong-token,  GET,  /v1/admin/configuration, unauthorized",
        "viewer-token, POST, /v1/admin/configuration, forbidden",
        "viewer-token, POST, /v1/admin/drains,        forbidden",
        "desk-token,   POST, /v1/admin/operators,     forbidden",
        "desk-token,   GET,  /v1/admin/history,       forbidden",
        "desk-token,   PUT,  /v1/admin/history,       malformed-request"
    })
    void callWithoutTheRequiredRoleIsRefused(String token, String method, String path, String reason) {
        HttpAnswer answer = call(method, path, token, Map.of(), "{}");
        assertEquals(reason, answer.header("Bulrushwheel-Refusal").orElse(""), answer.text());
    }

    @ParameterizedTest
    @CsvSource({"''", "1234", "NOT-HEX"})
    void operatorWithMalformedTokenHashIsRefusedAsMalformed(String hash) {
        String document = "{\"name\": \"x\", \"team\": \"desk\", \"role\": \"EDITOR\""
                + (hash.isEmpty() ? "" : ", \"tokenSha256\": \"" + hash + "\"") + "}";
        HttpAnswer answer = call("POST", "/v1/admin/operators", deployment.token(), Map.of(), document);
        assertEquals("malformed-request", answer.header("Bulrushwheel-Refusal").orElse(""), answer.text());
    }

    /**
     * Sends more calls than unauthenticated callers may make in a second, as an operator's tool does in a break between
     * shifts.
     */
    @Test
    void operatorsOwnCallsAreNotRateLimited() {
        call("GET", AdminHandler.CONFIGURATION_PATH, DESK_TOKEN, Map.of(), "");
        for (int call = 0; call < 200; call++) {
            HttpAnswer answer = call("GET", AdminHandler.CONFIGURATION_PATH, DESK_TOKEN, Map.of(), "");
            assertEquals(200, answer.status(), answer.text());
        }
    }

    @Test
    void operatorOfATeamSeesNothingOfAnotherTeam() {
        String document = call("GET", AdminHandler.CONFIGURATION_PATH, DESK_TOKEN, Map.of(), "")
                .text();
        assertTrue(document.contains("casedesk"), document);
        assertFalse(document.contains("vault"), document);
    }

    @Test
    void operatorOfATeamCannotChangeAnotherTeam() {
        Configuration modified = new TeamScope("desk").visible(twoTeams());
        List<ServiceDefinition> services = new ArrayList<>(modified.services());
        services.add(new ServiceDefinition("vault", "desk", List.of(new Route("/", "*", true, 1_000))));
        HttpAnswer answer = accept(DESK_TOKEN, withServices(modified, services), "steal");
        assertEquals("forbidden", answer.header("Bulrushwheel-Refusal").orElse(""), answer.text());
    }

    @Test
    void changeOfATeamDoesNotAffectOtherTeams() {
        Configuration own = new TeamScope("desk").visible(current());
        List<ServiceDefinition> services = new ArrayList<>(own.services());
        services.add(new ServiceDefinition("hearings", "desk", List.of(new Route("/", "*", true, 1_000))));
        HttpAnswer answer = accept(DESK_TOKEN, withServices(own, services), "add-hearings");

        assertEquals(200, answer.status(), answer.text());
        assertTrue(LocalDeployment.await(
                () -> current().service("hearings").isPresent(), System.nanoTime() + TimeUnit.SECONDS.toNanos(10)));
        assertEquals(twoTeams().service("vault"), current().service("vault"));
    }

    @Test
    void everyChangeIsInTheAuditTrail() {
        String history = call("GET", AdminHandler.HISTORY_PATH, deployment.token(), Map.of(), "")
                .text();
        assertTrue(history.contains("\"first\"") && history.contains("\"put_operator\""), history);
        assertFalse(history.contains(VIEWER_TOKEN));
    }

    private static Configuration twoTeams() {
        Configuration base = TestConfigurations.configuration();
        List<ServiceDefinition> services = new ArrayList<>(base.services());
        services.add(new ServiceDefinition("vault", "records", List.of(new Route("/", "*", true, 1_000))));
        return withServices(
                new Configuration(
                        base.deployment(),
                        base.timeZone(),
                        base.regions(),
                        base.zones(),
                        base.links(),
                        List.of(new Team("desk"), new Team("records")),
                        base.services(),
                        base.shifts(),
                        base.shiftCaps(),
                        base.clientBlocks(),
                        base.drains()),
                services);
    }

    private static Configuration withServices(Configuration base, List<ServiceDefinition> services) {
        return new Configuration(
                base.deployment(),
                base.timeZone(),
                base.regions(),
                base.zones(),
                base.links(),
                base.teams(),
                services,
                base.shifts(),
                base.shiftCaps(),
                base.clientBlocks(),
                base.drains());
    }

    private static Configuration current() {
        String document = call("GET", AdminHandler.CONFIGURATION_PATH, deployment.token(), Map.of(), "")
                .text();
        return ConfigurationCodec.read(document, Configuration.class).get();
    }

    private static HttpAnswer accept(String token, Configuration configuration, String changeId) {
        String version = Long.toString(deployment.daemons().get(0).configurationVersion());
        return call(
                "POST",
                AdminHandler.CONFIGURATION_PATH,
                token,
                Map.of("Bulrushwheel-Expected-Version", version, "Bulrushwheel-Change-Id", changeId),
                ConfigurationCodec.write(configuration));
    }

    private static HttpAnswer put(String name, String team, String role, String token) {
        String body = String.format(
                "{\"name\":\"%s\",\"team\":\"%s\",\"role\":\"%s\",\"tokenSha256\":\"%s\"}",
                name, team, role, Tokens.sha256(token));
        return call(
                "POST",
                AdminHandler.OPERATORS_PATH,
                deployment.token(),
                Map.of("Bulrushwheel-Change-Id", "operator-" + name),
                body);
    }

    private static HttpAnswer call(String method, String path, String token, Map<String, String> headers, String body) {
        Map<String, String> all = new java.util.HashMap<>(headers);
        all.put("Authorization", "Bearer " + token);
        return HTTP.call(method, deployment.httpAddress(0), path, all, body.getBytes(StandardCharsets.UTF_8));
    }
}
