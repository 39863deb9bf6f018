package org.bulrushwheel.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.bulrushwheel.kernel.DecisionLog;
import org.bulrushwheel.model.decision.LoggedDecision;

/**
 * Reads decisions from logs; other lines, and what stands before a line's JSON, are passed over.
 *
 * <p>Stateless and thread safe.
 */
final class DecisionReader {
    private static final ObjectMapper JSON = new ObjectMapper();

    private DecisionReader() {}

    /** Returns the decisions of a log file. */
    static List<LoggedDecision> read(Path file) {
        try (Stream<String> lines = Files.lines(file, StandardCharsets.UTF_8)) {
            return lines.map(DecisionReader::decision).flatMap(Optional::stream).toList();
        } catch (IOException | java.io.UncheckedIOException e) {
            throw new UsageException("cannot read " + file + "; name readable log files in UTF-8");
        }
    }

    /** Returns the decision of a line, if it has one. */
    static Optional<LoggedDecision> decision(String line) {
        int start = line.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            JsonNode tree = JSON.readTree(line.substring(start));
            if (!tree.path("loggerName").asText().equals(DecisionLog.LOGGER_NAME)) {
                return Optional.empty();
            }
            Map<String, String> fields = new LinkedHashMap<>();
            tree.path("kvpList").forEach(pair -> pair.fields()
                    .forEachRemaining(
                            field -> fields.put(field.getKey(), field.getValue().asText())));
            return Optional.of(new LoggedDecision(
                    tree.path("timestamp").asLong(),
                    tree.path("formattedMessage").asText(),
                    fields));
        } catch (JsonProcessingException e) {
            // A line that was cut off, or of another program.
            return Optional.empty();
        }
    }
}
