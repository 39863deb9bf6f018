package org.bulrushwheel.logic.retry;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.bulrushwheel.model.proto.PoisonRecord;

/**
 * Tracks requests that were in flight when endpoints closed their connections. A request is poison after it was in
 * flight at two such endpoints that have not survived it, unless any endpoint has answered it since the first closed its
 * connection.
 *
 * <p>Invariants: merging is commutative and idempotent; passing records on does not prolong a suspicion. Thread safe.
 */
public final class PoisonRegistry {
    private static final int POISON_ENDPOINT_COUNT = 2;
    private static final long RETENTION_MILLIS = 10 * 60_000L;
    private static final int MAX_RECORDS = 10_000;
    private static final int MAX_SHARED_RECORDS = 1_000;

    private static final class Suspect {
        private final Set<String> endpoints = new HashSet<>();
        private final Set<String> survivors = new HashSet<>();
        private boolean exonerated;
        private long expiresAtMillis;

        private long crashedEndpoints() {
            return endpoints.stream().filter(id -> !survivors.contains(id)).count();
        }
    }

    private final Map<String, Suspect> suspects = new HashMap<>();

    /** Records that an endpoint closed the connection of a request; returns the record to send to the peers. */
    public synchronized PoisonRecord onCrash(String fingerprint, String endpoint, long nowMillis) {
        Suspect suspect = suspectOf(fingerprint, nowMillis);
        suspect.expiresAtMillis = nowMillis + RETENTION_MILLIS;
        suspect.endpoints.add(endpoint);
        return toRecord(fingerprint, suspect, nowMillis);
    }

    /**
     * Records that an endpoint which closed the connection of a request runs on; returns the record to send to the peers
     * if the request was suspect.
     */
    public synchronized Optional<PoisonRecord> onSurvived(String fingerprint, String endpoint, long nowMillis) {
        Suspect suspect = suspects.get(fingerprint);
        if (suspect == null || !suspect.endpoints.contains(endpoint) || !suspect.survivors.add(endpoint)) {
            return Optional.empty();
        }
        return Optional.of(toRecord(fingerprint, suspect, nowMillis));
    }

    /** Records a complete answer; returns the record to send to the peers if the request was suspect. */
    public synchronized Optional<PoisonRecord> onAnswer(String fingerprint, long nowMillis) {
        Suspect suspect = suspects.get(fingerprint);
        if (suspect == null || suspect.exonerated) {
            return Optional.empty();
        }
        suspect.exonerated = true;
        return Optional.of(toRecord(fingerprint, suspect, nowMillis));
    }

    /** Merges a record received from a peer. */
    public synchronized void merge(PoisonRecord record, long nowMillis) {
        Suspect suspect = suspectOf(record.getFingerprint(), nowMillis);
        long remainingMillis = record.getRemainingMillis() == 0
                ? RETENTION_MILLIS
                : Math.min(RETENTION_MILLIS, Integer.toUnsignedLong(record.getRemainingMillis()));
        suspect.expiresAtMillis = Math.max(suspect.expiresAtMillis, nowMillis + remainingMillis);
        suspect.endpoints.addAll(record.getEndpointsList());
        suspect.survivors.addAll(record.getSurvivorsList());
        suspect.exonerated |= record.getExonerated();
    }

    /** Returns the records of suspect requests for an instance that has not heard of them; the most recent if many. */
    public synchronized List<PoisonRecord> suspects(long nowMillis) {
        return suspects.entrySet().stream()
                .filter(entry -> entry.getValue().expiresAtMillis > nowMillis)
                .filter(entry ->
                        !entry.getValue().exonerated && entry.getValue().crashedEndpoints() > 0)
                .sorted(Comparator.comparingLong(entry -> -entry.getValue().expiresAtMillis))
                .limit(MAX_SHARED_RECORDS)
                .map(entry -> toRecord(entry.getKey(), entry.getValue(), nowMillis))
                .toList();
    }

    /** Whether a request is poison and must not be sent to another endpoint. */
    public synchronized boolean isPoison(String fingerprint, long nowMillis) {
        Suspect suspect = suspects.get(fingerprint);
        return suspect != null
                && suspect.expiresAtMillis > nowMillis
                && !suspect.exonerated
                && suspect.crashedEndpoints() >= POISON_ENDPOINT_COUNT;
    }

    /** Whether there are no suspect requests, so that fingerprints need not be computed. */
    public synchronized boolean isEmpty() {
        return suspects.isEmpty();
    }

    private Suspect suspectOf(String fingerprint, long nowMillis) {
        if (suspects.size() >= MAX_RECORDS && !suspects.containsKey(fingerprint)) {
            suspects.values().removeIf(suspect -> suspect.expiresAtMillis <= nowMillis);
            evictOldest();
        }
        return suspects.compute(
                fingerprint,
                (name, known) -> known == null || known.expiresAtMillis <= nowMillis ? new Suspect() : known);
    }

    private void evictOldest() {
        if (suspects.size() >= MAX_RECORDS) {
            suspects.entrySet().stream()
                    .min(Comparator.comparingLong(entry -> entry.getValue().expiresAtMillis))
                    .map(Map.Entry::getKey)
                    .ifPresent(suspects::remove);
        }
    }

    private static PoisonRecord toRecord(String fingerprint, Suspect suspect, long nowMillis) {
        return PoisonRecord.newBuilder()
                .setFingerprint(fingerprint)
                .addAllEndpoints(suspect.endpoints)
                .addAllSurvivors(suspect.survivors)
                .setExonerated(suspect.exonerated)
                .setRemainingMillis((int) Math.max(1, suspect.expiresAtMillis - nowMillis))
                .build();
    }
}
