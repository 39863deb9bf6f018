package org.bulrushwheel.server.edge;

/**
 * Names of the headers that callers, entry instances and endpoints exchange.
 *
 * <p>Immutable and thread safe.
 *
 * @param requestId ID of a caller's attempt; endpoints echo it in the response
 * @param deadlineMillis how much longer the sender waits, in milliseconds
 * @param affinityKey key of the object that the request concerns
 * @param expectedInstance ID of the endpoint that the request is meant for
 * @param notExecuted present if the endpoint did not run the request
 * @param load running requests, waiting requests and slots of the endpoint, separated by commas
 * @param leaving present if the endpoint leaves and wants no further requests
 * @param signature present if the response comes from the endpoint itself; empty name if endpoints do not sign
 */
public record EdgeHeaders(
        String requestId,
        String deadlineMillis,
        String affinityKey,
        String expectedInstance,
        String notExecuted,
        String load,
        String leaving,
        String signature) {
    /** Default header names of Bulrushwheel. */
    public static final EdgeHeaders DEFAULT = new EdgeHeaders(
            "Bulrushwheel-Request-Id",
            "Bulrushwheel-Timeout-Millis",
            "Bulrushwheel-Affinity-Key",
            "Bulrushwheel-Expected-Endpoint",
            "Bulrushwheel-Not-Executed",
            "Bulrushwheel-Load",
            "Bulrushwheel-Leaving",
            "");
}
