package org.bulrushwheel.client;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Response to an HTTP request, or the reason why there was none.
 *
 * <p>Immutable and thread safe, provided that the body array is not modified; no code does so.
 *
 * @param status HTTP status code, or 0 if there was no response
 * @param headers response headers
 * @param body response body, or the reason as UTF-8 text if there was no response
 */
public record HttpAnswer(int status, Map<String, List<String>> headers, byte[] body) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Creates the result of a request that received no response, with the reason as its body. */
    public static HttpAnswer none(String reason) {
        return new HttpAnswer(0, Map.of(), reason.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns whether the status code is 2xx. */
    public boolean isOk() {
        return status >= 200 && status < 300;
    }

    /** Returns the first value of a header; the name is matched case-insensitively. */
    public Optional<String> header(String name) {
        return headers.entrySet().stream()
                .filter(entry -> entry.getKey().equalsIgnoreCase(name))
                .map(entry -> entry.getValue().get(0))
                .findFirst();
    }

    /** Returns the body decoded as UTF-8. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Parses the body as JSON; returns an empty object if it is not valid JSON. */
    public JsonNode json() {
        try {
            return JSON.readTree(body);
        } catch (IOException e) {
            return JSON.createObjectNode();
        }
    }
}
