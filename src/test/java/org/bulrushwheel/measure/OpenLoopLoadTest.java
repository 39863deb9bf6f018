package org.bulrushwheel.measure;

import java.io.IOException;
import java.util.Map;

import org.HdrHistogram.Histogram;
import org.bulrushwheel.client.HttpCaller;
import org.bulrushwheel.logic.response.MalformedHead;
import org.bulrushwheel.logic.response.MalformedShape;
import org.bulrushwheel.server.edge.ScriptedEndpoint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

@Timeout(30)
class OpenLoopLoadTest {
    private static final int REQUESTS = 20;
    private static final int REQUESTS_PER_SECOND = 1_000;

    private static OpenLoopLoad run(ScriptedEndpoint endpoint) {
        OpenLoopLoad load = new OpenLoopLoad();
        HttpCaller caller = new HttpCaller();
        Histogram latency = load.run(
                REQUESTS_PER_SECOND,
                REQUESTS,
                number -> caller.callAsync("GET", endpoint.address(), "/", Map.of(), new byte[0]));
        assertEquals(REQUESTS, latency.getTotalCount());
        return load;
    }

    /** Guards against a malformed response that a measurement counts as a success. */
    @ParameterizedTest
    @MethodSource("org.bulrushwheel.logic.response.MalformedShape#all")
    void malformedResponseIsAFailure(MalformedShape shape) throws IOException {
        try (ScriptedEndpoint endpoint = new ScriptedEndpoint((request, connection) -> {
            connection.send(shape.response("a1"));
            connection.socket().close();
        })) {
            assertEquals(REQUESTS, run(endpoint).failed());
        }
    }

    /** Guards against a sound response that a measurement counts as a failure. */
    @Test
    void soundResponseIsNoFailure() throws IOException {
        try (ScriptedEndpoint endpoint =
                new ScriptedEndpoint((request, connection) -> connection.send(MalformedHead.soundResponse("a1")))) {
            assertEquals(0, run(endpoint).failed());
        }
    }
}
