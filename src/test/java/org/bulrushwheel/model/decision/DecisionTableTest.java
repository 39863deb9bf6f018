package org.bulrushwheel.model.decision;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class DecisionTableTest {
    private static final Path PAGE = Path.of("docs", "OPERATIONS.md");

    @Test
    void operationsPageNamesEveryKindAndField() throws IOException {
        List<String> kinds = Stream.of(DecisionKind.values())
                .map(kind -> "| `" + kind.key() + "` | " + kind.meaning() + " |")
                .toList();
        List<String> fields = Stream.of(DecisionField.values())
                .map(field -> "| `" + field.key() + "` | " + field.meaning() + " |")
                .toList();
        assertEquals(kinds, rowsBelow("### Kinds of decisions"));
        assertEquals(fields, rowsBelow("### Fields"));
    }

    private static List<String> rowsBelow(String heading) throws IOException {
        return Files.readAllLines(PAGE).stream()
                .dropWhile(line -> !line.equals(heading))
                .skip(1)
                .takeWhile(line -> !line.startsWith("#"))
                .filter(line -> line.startsWith("| `"))
                .toList();
    }
}
