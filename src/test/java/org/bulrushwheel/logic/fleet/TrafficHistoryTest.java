package org.bulrushwheel.logic.fleet;

import java.util.Optional;

import com.google.protobuf.ByteString;
import org.bulrushwheel.model.proto.DocumentDelta;
import org.bulrushwheel.model.proto.TrafficDocument;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

class TrafficHistoryTest {
    private final TrafficHistory history = new TrafficHistory();

    private static TrafficDocument document(long version) {
        return TrafficDocument.newBuilder()
                .setVersion(version)
                .setRevision(version * 10)
                .setDocument(ByteString.copyFromUtf8("[\"a\"],[\"b\"],[\"" + version + "\"],[\"c\"]"))
                .build();
    }

    /** The subscriber has an earlier version, none, the latest one, one that was dropped, or one of another replica. */
    @ParameterizedTest
    @CsvSource({"30, 29, 29", "30, 20, 20", "30, 0, 0", "30, 30, 0", "30, 3, 0", "30, 99, 0"})
    void subscriberGetsADifferenceOnlyFromAVersionThatIsHere(long latest, long subscriberVersion, long expectedBase) {
        for (long version = 1; version <= latest; version++) {
            history.add(document(version));
        }
        TrafficDocument encoded = history.encode(document(latest), subscriberVersion);
        DocumentDelta delta = encoded.getDelta();
        assertEquals(expectedBase, delta.getBaseVersion());
        ByteString base =
                expectedBase == 0 ? ByteString.EMPTY : document(expectedBase).getDocument();
        assertEquals(Optional.of(document(latest).getDocument()), DocumentDeltas.apply(base, delta));
        assertEquals(latest * 10, encoded.getRevision());
    }
}
