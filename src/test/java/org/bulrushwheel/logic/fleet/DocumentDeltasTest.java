package org.bulrushwheel.logic.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import com.google.protobuf.ByteString;
import org.bulrushwheel.model.proto.DocumentDelta;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class DocumentDeltasTest {
    private static List<String> rows(int count, long seed) {
        Random random = new Random(seed);
        List<String> rows = new ArrayList<>();
        for (int row = 0; row < count; row++) {
            rows.add("[\"r-" + Long.toString(random.nextLong() >>> 16, 36) + "\",\"host" + row % 7 + ".example\",\"/"
                    + Long.toString(random.nextLong() >>> 24, 36) + "/\",\"safe\",0.8,0.2,2,\"desk\",2,true,[],null]");
        }
        return rows;
    }

    private static ByteString document(List<String> rows) {
        return ByteString.copyFromUtf8("{\"version\":\"r7\",\"routes\":{\"rows\":[" + String.join(",", rows) + "]}}");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void anyEditsYieldExactlyTheNewDocument(long seed) {
        Random random = new Random(seed);
        List<String> rows = rows(random.nextInt(60), seed);
        ByteString base = document(rows);
        for (int edit = 0; edit < 25 && !rows.isEmpty(); edit++) {
            int index = random.nextInt(rows.size());
            switch (random.nextInt(4)) {
                case 0 -> rows.remove(index);
                case 1 -> rows.addAll(index, rows(1 + random.nextInt(9), random.nextLong()));
                case 2 -> rows.set(index, rows.get(index).replace("0.8", "1.6"));
                default -> rows.add(rows.remove(index));
            }
        }
        ByteString changed = document(rows);
        assertEquals(Optional.of(changed), DocumentDeltas.apply(base, DocumentDeltas.between(7, base, changed)));
        assertEquals(Optional.of(changed), DocumentDeltas.apply(ByteString.EMPTY, DocumentDeltas.whole(changed)));
    }

    @ParameterizedTest
    @CsvSource({"'',''", "'',abc", "abc,''", "]]]],]]", "a]b]c],c]b]a]", "same]same],same]same]"})
    void smallDocumentsYieldExactlyTheNewDocument(String base, String changed) {
        ByteString from = ByteString.copyFromUtf8(base);
        ByteString to = ByteString.copyFromUtf8(changed);
        assertEquals(Optional.of(to), DocumentDeltas.apply(from, DocumentDeltas.between(1, from, to)));
    }

    /** Changes of single routes while the configuration has grown to different sizes. */
    @ParameterizedTest
    @ValueSource(ints = {30, 300, 3_000})
    void deltaIsBoundedByTheChangeAndNotByTheDocument(int routes) {
        List<String> rows = rows(routes, 1);
        ByteString base = document(rows);
        rows.set(routes / 2, rows.get(routes / 2).replace("0.8", "1.6"));
        rows.add(rows(1, 2).get(0));
        DocumentDelta delta = DocumentDeltas.between(7, base, document(rows));
        assertTrue(delta.getSerializedSize() < 400, delta.getSerializedSize() + " bytes for two rows");
    }

    @Test
    void deltaOfAnotherBaseYieldsNothing() {
        ByteString base = document(rows(20, 1));
        DocumentDelta delta = DocumentDeltas.between(7, base, document(rows(21, 1)));
        assertEquals(Optional.empty(), DocumentDeltas.apply(document(rows(20, 2)), delta));
        assertEquals(Optional.empty(), DocumentDeltas.apply(ByteString.EMPTY, delta));
    }

    @Test
    void malformedDeltaYieldsNothing() {
        ByteString base = document(rows(20, 1));
        DocumentDelta delta = DocumentDeltas.between(7, base, document(rows(21, 1)));
        ByteString edits = delta.getDeflatedEdits();
        for (ByteString broken : List.of(
                ByteString.EMPTY, edits.substring(0, edits.size() / 2), ByteString.copyFromUtf8("no deflated bytes"))) {
            DocumentDelta malformed = delta.toBuilder().setDeflatedEdits(broken).build();
            assertEquals(Optional.empty(), DocumentDeltas.apply(base, malformed));
        }
    }
}
