package org.bulrushwheel.cli;

/**
 * A call of a rehearsal. In path and body {@code ${host}} stands for the host of the entry instance, {@code ${endpoint}}
 * for the address of an endpoint.
 *
 * <p>Immutable and thread safe.
 *
 * @param listener listener that is called
 * @param method HTTP method
 * @param path path and query
 * @param status status that the call is to have in the end
 * @param body body, empty for none
 */
record RehearsalCall(Listener listener, String method, String path, int status, String body) {
    /** Listeners of a deployment. */
    enum Listener {
        CONTROL,
        LOOKUP,
        CALLER
    }
}
