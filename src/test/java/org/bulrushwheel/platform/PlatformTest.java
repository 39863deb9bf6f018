package org.bulrushwheel.platform;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

import org.bulrushwheel.logic.fleet.TrafficChecker;
import org.bulrushwheel.model.proto.EndpointRecord;
import org.bulrushwheel.model.proto.EndpointRecord.State;
import org.bulrushwheel.model.traffic.RouteKind;
import org.bulrushwheel.model.traffic.TrafficConfiguration;
import org.bulrushwheel.model.traffic.TrafficRoute;
import org.bulrushwheel.model.traffic.WeightedService;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class PlatformTest {
    private static final String ROUTE_COLUMNS =
            "[\"name\",\"hostname\",\"pathPrefix\",\"routeType\",\"timeoutS\",\"targetLatencyS\",\"priority\","
                    + "\"service\",\"maxAttempts\",\"sessionAffinity\",\"homeRegions\",\"trafficSplit\"]";
    private static final String CONFIG = "{\"version\":\"r7\",\"routes\":{\"columns\":" + ROUTE_COLUMNS + ",\"rows\":["
            + "[\"r1\",\"Desk.example\",\"/file/\",\"unsafe\",1,0.2,1,\"s1\",2,true,[\"north\"],null],"
            + "[\"r2\",\"desk.example\",\"/read/\",\"download\",0.8,0.2,2,null,2,false,[],"
            + "[{\"service\":\"s1\",\"weight\":90},{\"service\":\"s2\",\"weight\":10}]]]},"
            + "\"services\":{\"columns\":[\"name\",\"healthPath\",\"maxConnections\",\"protocol\",\"tls\",\"coldStartS\","
            + "\"coldPerS\"],\"rows\":[[\"s1\",\"/health\",780,\"h1\",false,3.0,7.7],[\"s2\",\"/health\",780,\"h1\","
            + "false,3.0,7.7]]},\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,"
            + "\"idleTimeoutS\":15}}";
    private static final String HEARTBEAT = "{\"service\":\"s1\",\"address\":\"10.128.0.9:8080\",\"zone\":\"north-a\","
            + "\"version\":\"v1\",\"slots\":3,\"state\":\"ready\",\"coldRemainingS\":1.25,\"sequence\":4,\"born\":77}";

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void configurationIsParsedIntoTypesWithUnits() {
        TrafficConfiguration read =
                new ConfigDocumentCodec().read(bytes(CONFIG)).get();
        assertEquals(7, read.version());
        assertEquals(
                new TrafficRoute(
                        "r1",
                        "desk.example",
                        "/file/",
                        RouteKind.ONCE,
                        1_000,
                        200,
                        1,
                        List.of(new WeightedService("s1", 1)),
                        2,
                        true,
                        Set.of("north")),
                read.routes().get(0));
        assertEquals(RouteKind.REPEATABLE, read.routes().get(1).kind());
        assertEquals(
                List.of(new WeightedService("s1", 90), new WeightedService("s2", 10)),
                read.routes().get(1).split());
        assertEquals(3_000, read.services().get(0).coldStartMillis());
        assertEquals(15_000, read.limits().idleTimeoutMillis());
        assertEquals(List.of(), TrafficChecker.check(read));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{",
                "[]",
                "null",
                "{\"version\":\"r7\"}",
                "{\"version\":7,\"routes\":{\"columns\":[],\"rows\":[]},\"services\":{\"columns\":[],\"rows\":[]}}",
                "{\"version\":\"r7\",\"routes\":{\"columns\":[\"name\"],\"rows\":[[]]},\"services\":{\"columns\":[],"
                        + "\"rows\":[]}}"
            })
    void incompleteConfigurationIsRejected(String document) {
        assertTrue(new ConfigDocumentCodec().read(bytes(document)).isLeft());
    }

    @Test
    void everyTruncatedConfigurationIsRejected() {
        for (int length = 0; length < CONFIG.length(); length++) {
            assertTrue(
                    new ConfigDocumentCodec()
                            .read(bytes(CONFIG.substring(0, length)))
                            .isLeft(),
                    "of length " + length);
        }
    }

    @Test
    void heartbeatIsParsedIntoRecord() {
        EndpointRecord record = HeartbeatReader.read("i-1", bytes(HEARTBEAT)).get();
        assertEquals("i-1", record.getId());
        assertEquals("10.128.0.9:8080", record.getAddress());
        assertEquals(1_250, record.getColdRemainingMillis());
        assertEquals(77, record.getBornEpochMillis());
        assertEquals(State.READY, record.getState());
    }

    /** Guards against heartbeats of other writers that every entry instance takes for an endpoint. */
    @ParameterizedTest
    @CsvSource({
        "'\"slots\":3', '\"slots\":\"3\"'",
        "'\"slots\":3,', ''",
        "'\"slots\":3', '\"slots\":0'",
        "'\"slots\":3', '\"slots\":2147483647'",
        "'\"slots\":3', '\"slots\":99999999999999999999'",
        "'\"state\":\"ready\"', '\"state\":\"resting\"'",
        "'\"state\":\"ready\"', '\"state\":7'",
        "'\"sequence\":4', '\"sequence\":4.5'",
        "'\"sequence\":4', '\"sequence\":-4'",
        "'\"sequence\":4', '\"sequence\":18446744073709551617'",
        "'\"sequence\":4', '\"sequence\":9223372036854775807'",
        "'\"born\":77', '\"born\":\"yesterday\"'",
        "'\"born\":77', '\"born\":9223372036854775807'",
        "'\"coldRemainingS\":1.25,', ''",
        "'\"coldRemainingS\":1.25', '\"coldRemainingS\":\"1\"'",
        "'\"coldRemainingS\":1.25', '\"coldRemainingS\":-1'",
        "'\"coldRemainingS\":1.25', '\"coldRemainingS\":1e300'",
        "'\"version\":\"v1\",', ''",
        "'\"version\":\"v1\"', '\"version\":{}'",
        "'\"zone\":\"north-a\"', '\"zone\":\"\"'",
        "'10.128.0.9:8080', 'nowhere'",
        "'10.128.0.9:8080', '10.128.0.9:80800'",
        "'10.128.0.9:8080', '10.128.0.9:0'",
        "'10.128.0.9:8080', '10.128.0.9:-1'",
        "'10.128.0.9:8080', '10.128.0.999:80'",
        "'10.128.0.9:8080', 'endpoint.example:80'",
        "'{\"service\"', '\"service\"'"
    })
    void malformedHeartbeatIsRejected(String original, String replacement) {
        assertTrue(HEARTBEAT.contains(original));
        assertTrue(HeartbeatReader.read("i-1", bytes(HEARTBEAT.replace(original, replacement)))
                .isLeft());
    }

    /** Guards against processes that end because of one body that is nested too deeply or too long. */
    @ParameterizedTest
    @ValueSource(ints = {10, 900, 100_000})
    void deeplyNestedBodyIsRejected(int depth) throws InterruptedException {
        String nested = "[".repeat(depth) + "]".repeat(depth);
        byte[] heartbeat = bytes(HEARTBEAT.replace("\"north-a\"", nested));
        byte[] configuration = bytes(CONFIG.replace("unsafe\",1,", "unsafe\"," + nested + ","));
        AtomicInteger rejected = new AtomicInteger();
        // The stack of the processes is that small.
        Thread thread = new Thread(
                null,
                () -> {
                    rejected.addAndGet(HeartbeatReader.read("i-1", heartbeat).isLeft() ? 1 : 0);
                    rejected.addAndGet(HeartbeatReader.leave("i-1", heartbeat).isLeft() ? 1 : 0);
                    rejected.addAndGet(
                            new ConfigDocumentCodec().read(configuration).isLeft() ? 1 : 0);
                },
                "small stack",
                256 * 1024);
        thread.start();
        thread.join();
        // A leave needs only the start of the incarnation, which is readable up to the limit of the parser.
        assertEquals(depth > 1_000 ? 3 : 2, rejected.get());
    }

    @ParameterizedTest
    @CsvSource({"'', 0", "'{}', 0", "'{\"born\":77}', 77"})
    void leaveNamesItsIncarnationIfKnown(String body, long born) {
        assertEquals(born, HeartbeatReader.leave("i-1", bytes(body)).get().getBornEpochMillis());
    }

    @ParameterizedTest
    @ValueSource(strings = {"{", "{\"born\":\"77\"}", "{\"born\":1e3}", "{\"born\":99999999999999999999}"})
    void unreadableLeaveEndsNoEndpoint(String body) {
        assertTrue(HeartbeatReader.leave("i-1", bytes(body)).isLeft());
    }

    @Test
    void headerNamesMatchThoseOfPlatform() {
        assertEquals(
                Map.of("deadline", "X-Deadline-Ms", "signature", "X-Server-Signature"),
                Map.of(
                        "deadline", new PlatformInterfaces().headers().deadlineMillis(),
                        "signature", new PlatformInterfaces().headers().signature()));
    }
}
