package org.bulrushwheel.logic.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.zip.CRC32C;
import java.util.zip.DataFormatException;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.bulrushwheel.model.proto.DocumentDelta;
import org.bulrushwheel.model.proto.DocumentEdit;
import org.bulrushwheel.model.proto.DocumentEdits;

/**
 * Differences between two documents as copies from the earlier one and insertions, compressed.
 *
 * <p>Invariant: a delta that is applied yields exactly the bytes from which it was made, or nothing. The content is not
 * interpreted; documents are only split after brackets and line ends, so that unchanged rows are found wherever they
 * stand. Stateless and thread safe.
 */
public final class DocumentDeltas {
    /** Base version of a delta that holds the whole document. */
    public static final long NO_BASE = 0;

    private static final int MAX_DOCUMENT_BYTES = 64 * 1024 * 1024;
    private static final int MAX_CHUNK_BYTES = 4_096;

    private DocumentDeltas() {}

    /** Returns a document as a delta that needs no base. */
    public static DocumentDelta whole(ByteString document) {
        return between(NO_BASE, ByteString.EMPTY, document);
    }

    /** Returns the difference of a document from the document of an earlier version. */
    public static DocumentDelta between(long baseVersion, ByteString base, ByteString document) {
        DocumentEdits edits =
                DocumentEdits.newBuilder().addAllEdits(edits(base, document)).build();
        return DocumentDelta.newBuilder()
                .setBaseVersion(baseVersion)
                .setDeflatedEdits(Deflation.deflate(edits.toByteString()))
                .setDocumentBytes(document.size())
                .setDocumentCrc32C(checksum(document))
                .build();
    }

    /**
     * Returns the document that results from a delta; empty if it was made from another document than the one in force.
     *
     * @param version version of the document in force
     * @param document document in force
     */
    public static Optional<ByteString> apply(long version, ByteString document, DocumentDelta delta) {
        if (delta.getBaseVersion() == NO_BASE) {
            return apply(ByteString.EMPTY, delta);
        }
        return delta.getBaseVersion() == version ? apply(document, delta) : Optional.empty();
    }

    /** Returns the document that results from the base; empty if the delta was not made from this base. */
    public static Optional<ByteString> apply(ByteString base, DocumentDelta delta) {
        if (delta.getDocumentBytes() > MAX_DOCUMENT_BYTES) {
            return Optional.empty();
        }
        try {
            DocumentEdits edits =
                    DocumentEdits.parseFrom(Deflation.inflate(delta.getDeflatedEdits(), MAX_DOCUMENT_BYTES));
            ByteString.Output output = ByteString.newOutput(delta.getDocumentBytes());
            for (DocumentEdit edit : edits.getEditsList()) {
                int copyEnd = edit.getCopyOffset() + edit.getCopyBytes();
                if (edit.getCopyOffset() < 0 || copyEnd < edit.getCopyOffset() || copyEnd > base.size()) {
                    return Optional.empty();
                }
                append(base.substring(edit.getCopyOffset(), copyEnd), output);
                append(edit.getInsert(), output);
            }
            ByteString document = output.toByteString();
            boolean isExact =
                    document.size() == delta.getDocumentBytes() && checksum(document) == delta.getDocumentCrc32C();
            return isExact ? Optional.of(document) : Optional.empty();
        } catch (DataFormatException | InvalidProtocolBufferException e) {
            // Not written by this release; the sender is asked for the whole document.
            return Optional.empty();
        }
    }

    private static List<DocumentEdit> edits(ByteString base, ByteString document) {
        Map<ByteString, Integer> offsetsByChunk = new HashMap<>();
        int baseOffset = 0;
        for (ByteString chunk : chunks(base)) {
            offsetsByChunk.putIfAbsent(chunk, baseOffset);
            baseOffset += chunk.size();
        }
        List<DocumentEdit> edits = new ArrayList<>();
        int copyOffset = 0;
        int copyEnd = 0;
        ByteString insert = ByteString.EMPTY;
        for (ByteString chunk : chunks(document)) {
            boolean continuesCopy = insert.isEmpty()
                    && copyEnd + chunk.size() <= base.size()
                    && base.substring(copyEnd, copyEnd + chunk.size()).equals(chunk);
            Integer found = offsetsByChunk.get(chunk);
            if (continuesCopy) {
                copyEnd += chunk.size();
            } else if (found != null) {
                addEdit(edits, copyOffset, copyEnd, insert);
                copyOffset = found;
                copyEnd = found + chunk.size();
                insert = ByteString.EMPTY;
            } else {
                insert = insert.concat(chunk);
            }
        }
        addEdit(edits, copyOffset, copyEnd, insert);
        return edits;
    }

    private static void addEdit(List<DocumentEdit> edits, int copyOffset, int copyEnd, ByteString insert) {
        if (copyEnd > copyOffset || !insert.isEmpty()) {
            edits.add(DocumentEdit.newBuilder()
                    .setCopyOffset(copyOffset)
                    .setCopyBytes(copyEnd - copyOffset)
                    .setInsert(insert)
                    .build());
        }
    }

    private static List<ByteString> chunks(ByteString document) {
        List<ByteString> chunks = new ArrayList<>();
        int start = 0;
        for (int index = 0; index < document.size(); index++) {
            byte current = document.byteAt(index);
            boolean isBoundary = current == ']' || current == '}' || current == '\n';
            if (isBoundary || index + 1 - start >= MAX_CHUNK_BYTES) {
                chunks.add(document.substring(start, index + 1));
                start = index + 1;
            }
        }
        if (start < document.size()) {
            chunks.add(document.substring(start));
        }
        return chunks;
    }

    private static void append(ByteString bytes, ByteString.Output output) {
        try {
            bytes.writeTo(output);
        } catch (java.io.IOException e) {
            throw new IllegalStateException("writing to memory cannot fail", e);
        }
    }

    private static int checksum(ByteString document) {
        CRC32C checksum = new CRC32C();
        document.asReadOnlyByteBufferList().forEach(checksum::update);
        return (int) checksum.getValue();
    }
}
