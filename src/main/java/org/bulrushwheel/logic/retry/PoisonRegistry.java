package org.bulrushwheel.logic.retry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.bulrushwheel.model.proto.PoisonRecord;

/**
 * Tracks requests that were in flight when endpoints closed their connections. A request is poison after it was in
 * flight at two such endpoints, unless any endpoint has answered it since the first closed its connection.
 *
 * <p>Invariant: merging is commutative and idempotent. Thread safe.
 */
public final class PoisonRegistry {
    private static final int POISON_ENDPOINT_COUNT = 2;
    private static final long RETENTION_MILLIS = 10 * 60_000L;
    private static final int MAX_RECORDS = 10_000;

    private static final class Suspect {
        private final Set<String> endpoints = new HashSet<>();
        private boolean exonerated;
        private long expiresAtMillis;
    }

    private final Map<String, Suspect> suspects = new HashMap<>();

    /** Records that an endpoint closed the connection of a request; returns the record to send to the peers. */
    public synchronized PoisonRecord onCrash(String fingerprint, String endpoint, long nowMillis) {
        Suspect suspect = suspectOf(fingerprint, nowMillis);
        suspect.endpoints.add(endpoint);
        return toRecord(fingerprint, suspect);
    }

    /** Records a complete answer; returns the record to send to the peers if the request was suspect. */
    public synchronized Optional<PoisonRecord> onAnswer(String fingerprint) {
        Suspect suspect = suspects.get(fingerprint);
        if (suspect == null || suspect.exonerated) {
            return Optional.empty();
        }
        suspect.exonerated = true;
        return Optional.of(toRecord(fingerprint, suspect));
    }

    /** Merges a record received from a peer. */
    public synchronized void merge(PoisonRecord record, long nowMillis) {
        Suspect suspect = suspectOf(record.getFingerprint(), nowMillis);
        suspect.endpoints.addAll(record.getEndpointsList());
        suspect.exonerated |= record.getExonerated();
    }

    /** Whether a request is poison and must not be sent to another endpoint. */
    public synchronized boolean isPoison(String fingerprint, long nowMillis) {
        Suspect suspect = suspects.get(fingerprint);
        return suspect != null
                && suspect.expiresAtMillis > nowMillis
                && !suspect.exonerated
                && suspect.endpoints.size() >= POISON_ENDPOINT_COUNT;
    }

    /** Whether there are no suspect requests, so that fingerprints need not be computed. */
    public synchronized boolean isEmpty() {
        return suspects.isEmpty();
    }

    private Suspect suspectOf(String fingerprint, long nowMillis) {
        if (suspects.size() >= MAX_RECORDS) {
            suspects.values().removeIf(suspect -> suspect.expiresAtMillis <= nowMillis);
        }
        Suspect suspect = suspects.compute(
                fingerprint,
                (name, known) -> known == null || known.expiresAtMillis <= nowMillis ? new Suspect() : known);
        suspect.expiresAtMillis = nowMillis + RETENTION_MILLIS;
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
