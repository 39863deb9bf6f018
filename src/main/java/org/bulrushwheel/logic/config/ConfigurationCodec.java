package org.bulrushwheel.logic.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.electronwill.nightconfig.core.Config;
import com.electronwill.nightconfig.toml.TomlFormat;
import com.electronwill.nightconfig.toml.TomlWriter;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.vavr.control.Either;
import org.bulrushwheel.model.config.VersionedConfiguration;

/**
 * Reads and writes TOML documents. Writing is deterministic: equal values produce identical bytes.
 *
 * <p>Stateless and thread safe.
 */
public final class ConfigurationCodec {
    private static final TomlMapper TOML = TomlMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .build();
    private static final ObjectMapper JSON = new ObjectMapper();

    private ConfigurationCodec() {}

    /**
     * Reads a document.
     *
     * @param document TOML text
     * @param type record to read
     * @return the value, or a description of the error, with its line and key if the parser reports them
     */
    public static <T> Either<String, T> read(String document, Class<T> type) {
        try {
            return Either.right(TOML.readValue(document, type));
        } catch (JsonProcessingException e) {
            return Either.left(describe(e));
        }
    }

    /** Writes a value as TOML, with one table for each record. */
    public static String write(Object value) {
        JsonNode tree = JSON.valueToTree(value);
        Config config = toConfig(tree);
        TomlWriter writer = TomlFormat.instance().createWriter();
        writer.setIndent("");
        return writer.writeToString(config).replace("\r\n", "\n").strip() + "\n";
    }

    /** Returns the document of a configuration, which is generated if the configuration was built from a delta. */
    public static String documentOf(VersionedConfiguration configuration) {
        boolean hasDocument =
                configuration.version() == 0 || !configuration.document().isEmpty();
        return hasDocument ? configuration.document() : write(configuration.configuration());
    }

    private static Config toConfig(JsonNode object) {
        Map<String, Object> values = new LinkedHashMap<>();
        object.fields().forEachRemaining(field -> values.put(field.getKey(), toValue(field.getValue())));
        return Config.wrap(values, TomlFormat.instance());
    }

    private static Object toValue(JsonNode node) {
        if (node.isObject()) {
            return toConfig(node);
        }
        if (node.isArray()) {
            List<Object> list = new ArrayList<>();
            node.forEach(element -> list.add(toValue(element)));
            return list;
        }
        if (node.isIntegralNumber()) {
            return node.longValue();
        }
        if (node.isNumber()) {
            return node.doubleValue();
        }
        return node.isBoolean() ? node.booleanValue() : node.asText();
    }

    private static String describe(JsonProcessingException e) {
        String line = e.getLocation() == null ? "" : "line " + e.getLocation().getLineNr() + ": ";
        return line + e.getOriginalMessage() + "; correct or remove this key";
    }
}
