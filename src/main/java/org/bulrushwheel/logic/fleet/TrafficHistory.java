package org.bulrushwheel.logic.fleet;

import java.util.LinkedHashMap;
import java.util.Map;

import com.google.protobuf.ByteString;
import org.bulrushwheel.model.proto.DocumentDelta;
import org.bulrushwheel.model.proto.TrafficDocument;

/**
 * The latest traffic documents of a control instance, from which it makes the differences for its subscribers.
 *
 * <p>Invariant: bounded in documents and bytes; a subscriber whose document is no longer here gets the whole one. Not
 * thread safe.
 */
public final class TrafficHistory {
    private static final int MAX_DOCUMENTS = 16;
    private static final long MAX_BYTES = 8L * 1024 * 1024;

    private final Map<Long, ByteString> documentsByVersion = new LinkedHashMap<>();
    // Most subscribers have the same version, so the difference from it is made once.
    private final Map<Long, DocumentDelta> deltasByBase = new LinkedHashMap<>();
    private long latestVersion;

    /**
     * Returns a document as the shortest encoding that a subscriber can read.
     *
     * @param latest document in force, with its content
     * @param subscriberVersion version that the subscriber has, 0 if none
     */
    public TrafficDocument encode(TrafficDocument latest, long subscriberVersion) {
        add(latest);
        long base = documentsByVersion.containsKey(subscriberVersion) && subscriberVersion != latest.getVersion()
                ? subscriberVersion
                : DocumentDeltas.NO_BASE;
        DocumentDelta delta = deltasByBase.computeIfAbsent(
                base,
                version -> DocumentDeltas.between(
                        version, documentsByVersion.getOrDefault(version, ByteString.EMPTY), latest.getDocument()));
        return TrafficDocument.newBuilder()
                .setVersion(latest.getVersion())
                .setRevision(latest.getRevision())
                .setDelta(delta)
                .build();
    }

    /** Adds a document, so that later ones can be sent as differences from it. */
    public void add(TrafficDocument latest) {
        if (latest.getVersion() == latestVersion) {
            return;
        }
        latestVersion = latest.getVersion();
        deltasByBase.clear();
        documentsByVersion.put(latest.getVersion(), latest.getDocument());
        while (documentsByVersion.size() > 1 && isOverBounds()) {
            documentsByVersion.remove(documentsByVersion.keySet().iterator().next());
        }
    }

    private boolean isOverBounds() {
        long bytes =
                documentsByVersion.values().stream().mapToLong(ByteString::size).sum();
        return documentsByVersion.size() > MAX_DOCUMENTS || bytes > MAX_BYTES;
    }
}
