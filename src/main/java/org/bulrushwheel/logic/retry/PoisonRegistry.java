package org.bulrushwheel.logic.retry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.bulrushwheel.model.proto.PoisonRecord;

/**
 * Requests that were in flight when endpoints ended their connections. After the second endpoint a request is poison,
 * unless it was answered since the first: one that is answered anywhere is no poison.
 *
 * <p>Invariant: merging is commutative and idempotent. Thread safe.
 */
public final class PoisonRegistry {
    private static final int ENDPOINTS_TO_POISON = 2;
    private static final long KEPT_MILLIS = 10 * 60_000L;
    private static final int MAX_RECORDS = 10_000;

    private static final class Suspect {
        private final Set<String> endpoints = new HashSet<>();
        private boolean exonerated;
        private long dropAtMillis;
    }

    private final Map<String, Suspect> suspects = new HashMap<>();

    /** Notes that an endpoint ended the connection of a request; returns what the peers are to know. */
    public synchronized PoisonRecord onCrash(String fingerprint, String endpoint, long nowMillis) {
        Suspect suspect = suspectOf(fingerprint, nowMillis);
        suspect.endpoints.add(endpoint);
        return toRecord(fingerprint, suspect);
    }

    /** Notes a whole answer; returns what the peers are to know when the request was suspect. */
    public synchronized Optional<PoisonRecord> onAnswer(String fingerprint) {
        Suspect suspect = suspects.get(fingerprint);
        if (suspect == null || suspect.exonerated) {
            return Optional.empty();
        }
        suspect.exonerated = true;
        return Optional.of(toRecord(fingerprint, suspect));
    }

    /** Takes what a peer knows. */
    public synchronized void merge(PoisonRecord record, long nowMillis) {
        Suspect suspect = suspectOf(record.getFingerprint(), nowMillis);
        suspect.endpoints.addAll(record.getEndpointsList());
        suspect.exonerated |= record.getExonerated();
    }

    /** Whether a request must not be sent to another endpoint. */
    public synchronized boolean isPoison(String fingerprint, long nowMillis) {
        Suspect suspect = suspects.get(fingerprint);
        return suspect != null
                && suspect.dropAtMillis > nowMillis
                && !suspect.exonerated
                && suspect.endpoints.size() >= ENDPOINTS_TO_POISON;
    }

    /** Whether no request is suspect at all, so that fingerprints need not be taken. */
    public synchronized boolean isEmpty() {
        return suspects.isEmpty();
    }

    private Suspect suspectOf(String fingerprint, long nowMillis) {
        if (suspects.size() >= MAX_RECORDS) {
            suspects.values().removeIf(suspect -> suspect.dropAtMillis <= nowMillis);
        }
        Suspect suspect = suspects.computeIfAbsent(fingerprint, name -> new Suspect());
        suspect.dropAtMillis = nowMillis + KEPT_MILLIS;
        return suspect;
    }

    private static PoisonRecord toRecord(String fingerprint, Suspect suspect) {
        return PoisonRecord.newBuilder()
                .setFingerprint(fingerprint)
                .addAllEndpoints(suspect.endpoints)
                .setExonerated(suspect.exonerated)
                .build();
    }
}
