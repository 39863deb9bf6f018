package org.bulrushwheel.client;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Answer to an HTTP call.
 *
 * <p>Immutable, but for the array, which nothing changes; thread safe.
 *
 * @param status HTTP status, 0 when there was no answer
 * @param headers headers
 * @param body body
 */
public record HttpAnswer(int status, Map<String, List<String>> headers, byte[] body) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Stands for a call without an answer. */
    public static HttpAnswer none(String reason) {
        return new HttpAnswer(0, Map.of(), reason.getBytes(StandardCharsets.UTF_8));
    }

    /** Whether the status says that the call was done. */
    public boolean isOk() {
        return status >= 200 && status < 300;
    }

    /** Returns a header. */
    public Optional<String> header(String name) {
        return headers.entrySet().stream()
                .filter(entry -> entry.getKey().equalsIgnoreCase(name))
                .map(entry -> entry.getValue().get(0))
                .findFirst();
    }

    /** Returns the body as text. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Reads the body as JSON; an empty object when it is none. */
    public JsonNode json() {
        try {
            return JSON.readTree(body);
        } catch (IOException e) {
            return JSON.createObjectNode();
        }
    }
}
