package org.bulrushwheel.server.api;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A request to one of this instance's interfaces.
 *
 * <p>Immutable and thread safe.
 *
 * @param method HTTP method in upper case
 * @param path decoded path
 * @param parameters query parameters
 * @param body complete request body
 * @param caller whether the caller still waits for the response
 */
public record ApiCall(
        String method, String path, Map<String, List<String>> parameters, byte[] body, CallerPresence caller) {
    /** Returns the first value of a query parameter. */
    public Optional<String> parameter(String name) {
        return parameters.getOrDefault(name, List.of()).stream().findFirst();
    }
}
