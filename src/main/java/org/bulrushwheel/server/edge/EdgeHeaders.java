package org.bulrushwheel.server.edge;

/**
 * Names of the headers that callers, entry instances and endpoints exchange.
 *
 * <p>Immutable and thread safe.
 *
 * @param requestId identity of a caller's attempt; endpoints echo it
 * @param deadlineMillis how long the sender still waits
 * @param affinityKey object of the request
 * @param expectedInstance identity of the endpoint that the request is meant for
 * @param notExecuted says that the endpoint did not run the request
 * @param load running, waiting and slots of the endpoint
 * @param signature proves that an answer is the endpoint's; empty when endpoints don't sign
 */
public record EdgeHeaders(
        String requestId,
        String deadlineMillis,
        String affinityKey,
        String expectedInstance,
        String notExecuted,
        String load,
        String signature) {
    /** The project's own names. */
    public static final EdgeHeaders DEFAULT = new EdgeHeaders(
            "Bulrushwheel-Request-Id",
            "Bulrushwheel-Timeout-Millis",
            "Bulrushwheel-Affinity-Key",
            "Bulrushwheel-Expected-Endpoint",
            "Bulrushwheel-Not-Executed",
            "Bulrushwheel-Load",
            "");
}
