package org.bulrushwheel.server.api;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A call to one of this instance's interfaces.
 *
 * <p>Immutable and thread safe.
 *
 * @param method method in capitals
 * @param path decoded path
 * @param parameters parameters of the query
 * @param body whole body
 */
public record ApiCall(String method, String path, Map<String, List<String>> parameters, byte[] body) {
    /** Returns the first value of a parameter. */
    public Optional<String> parameter(String name) {
        return parameters.getOrDefault(name, List.of()).stream().findFirst();
    }
}
