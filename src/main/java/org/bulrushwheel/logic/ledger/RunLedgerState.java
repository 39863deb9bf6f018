package org.bulrushwheel.logic.ledger;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.google.protobuf.ByteString;
import org.bulrushwheel.model.proto.ClaimKey;
import org.bulrushwheel.model.proto.CommandResult;
import org.bulrushwheel.model.proto.CompleteKey;
import org.bulrushwheel.model.proto.KeyRecord;
import org.bulrushwheel.model.proto.ReleaseKey;
import org.bulrushwheel.model.proto.StoredAnswer;

/**
 * Replicated state of the run ledger, which deduplicates requests by idempotency key.
 *
 * <p>Invariants: a key has at most one active claim, and an active claim never expires. Only {@code release} with its claim
 * id ends it, and the holder sends that only if it has not dispatched the request. A released claim id can never claim
 * again. Answers are retained for one day, keys forever. Not thread safe.
 */
public final class RunLedgerState {
    /** How long the answer of a completed key is retained for repeated requests. */
    public static final long ANSWER_RETENTION_MILLIS = 24L * 60 * 60 * 1000;

    private final Map<String, KeyRecord> recordsByKey = new HashMap<>();
    private final Deque<String> keysWithAnswer = new ArrayDeque<>();

    /** Claims a key for one attempt, or returns the state of the existing claim. */
    public CommandResult claim(ClaimKey claim, long nowEpochMillis) {
        removeExpiredAnswers(nowEpochMillis);
        String id = id(claim.getService(), claim.getKey());
        KeyRecord record = recordsByKey.getOrDefault(id, KeyRecord.getDefaultInstance());
        if (record.getVoidClaimIdsList().contains(claim.getClaimId())) {
            return result(CommandResult.Kind.KEY_CLAIM_VOID, record);
        }
        if (!record.getClaimed()) {
            recordsByKey.put(
                    id, record.toBuilder().setClaim(claim).setClaimed(true).build());
            return result(CommandResult.Kind.KEY_CLAIMED, recordsByKey.get(id));
        }
        return existingClaimResult(claim, record);
    }

    /** Marks the claimed request as completed, and stores its answer if it is to be retained. */
    public CommandResult complete(CompleteKey change, long nowEpochMillis) {
        removeExpiredAnswers(nowEpochMillis);
        String id = id(change.getService(), change.getKey());
        KeyRecord record = recordsByKey.getOrDefault(id, KeyRecord.getDefaultInstance());
        if (!isHeldBy(record, change.getClaimId())) {
            return result(CommandResult.Kind.KEY_CLAIM_VOID, record);
        }
        if (!record.getCompleted()) {
            store(id, record, change, nowEpochMillis);
        }
        return result(CommandResult.Kind.DONE, recordsByKey.get(id));
    }

    /** Releases a claim whose request was not dispatched. Its id stays void even if the claim itself arrives later. */
    public CommandResult release(ReleaseKey change) {
        String id = id(change.getService(), change.getKey());
        KeyRecord record = recordsByKey.getOrDefault(id, KeyRecord.getDefaultInstance());
        if (isHeldBy(record, change.getClaimId()) && record.getCompleted()) {
            return result(CommandResult.Kind.KEY_CLAIM_VOID, record);
        }
        KeyRecord.Builder released = record.toBuilder();
        if (isHeldBy(record, change.getClaimId())) {
            released.clearClaim().setClaimed(false);
        }
        if (!record.getVoidClaimIdsList().contains(change.getClaimId())) {
            released.addVoidClaimIds(change.getClaimId());
        }
        recordsByKey.put(id, released.build());
        return result(CommandResult.Kind.DONE, record);
    }

    /** Returns the number of keys. */
    public int size() {
        return recordsByKey.size();
    }

    /** Returns all records in a deterministic order, for a snapshot. */
    public List<KeyRecord> records() {
        List<KeyRecord> records = new ArrayList<>();
        recordsByKey.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(entry -> records.add(withKeyName(entry.getKey(), entry.getValue())));
        return records;
    }

    /** Replaces all records by those of a snapshot. */
    public void restore(List<KeyRecord> records) {
        recordsByKey.clear();
        keysWithAnswer.clear();
        for (KeyRecord record : records) {
            recordsByKey.put(
                    id(record.getClaim().getService(), record.getClaim().getKey()), record);
        }
        recordsByKey.entrySet().stream()
                .filter(entry -> entry.getValue().getAnswerKept())
                .sorted(Map.Entry.comparingByValue(
                        java.util.Comparator.comparingLong(KeyRecord::getCompletedAtEpochMillis)))
                .forEach(entry -> keysWithAnswer.add(entry.getKey()));
    }

    private static CommandResult existingClaimResult(ClaimKey claim, KeyRecord record) {
        boolean sameAttempt = isHeldBy(record, claim.getClaimId());
        if (sameAttempt && !record.getCompleted()) {
            return result(CommandResult.Kind.KEY_CLAIMED, record);
        }
        ByteString digest = record.getClaim().getRequestDigest();
        if (!digest.equals(claim.getRequestDigest())) {
            return result(CommandResult.Kind.KEY_DIGEST_MISMATCH, record);
        }
        return result(
                record.getCompleted() ? CommandResult.Kind.KEY_COMPLETED : CommandResult.Kind.KEY_IN_PROGRESS, record);
    }

    private void store(String id, KeyRecord record, CompleteKey change, long nowEpochMillis) {
        KeyRecord.Builder completed = record.toBuilder()
                .setCompleted(true)
                .setAnswerKept(change.getAnswerKept())
                .setOutcomeUnknown(change.getOutcomeUnknown())
                .setCompletedAtEpochMillis(nowEpochMillis);
        if (change.getAnswerKept()) {
            completed.setAnswer(change.getAnswer());
            keysWithAnswer.add(id);
        }
        recordsByKey.put(id, completed.build());
    }

    private void removeExpiredAnswers(long nowEpochMillis) {
        while (!keysWithAnswer.isEmpty()) {
            KeyRecord oldest = recordsByKey.get(keysWithAnswer.peek());
            if (oldest.getCompletedAtEpochMillis() + ANSWER_RETENTION_MILLIS > nowEpochMillis) {
                return;
            }
            recordsByKey.put(
                    keysWithAnswer.poll(),
                    oldest.toBuilder().setAnswerKept(false).clearAnswer().build());
        }
    }

    private static boolean isHeldBy(KeyRecord record, String claimId) {
        return record.getClaimed() && record.getClaim().getClaimId().equals(claimId);
    }

    /** Adds service and key to a record without an active claim, so that a snapshot identifies it. */
    private static KeyRecord withKeyName(String id, KeyRecord record) {
        if (record.getClaimed()) {
            return record;
        }
        int separator = id.indexOf('\n');
        ClaimKey name = ClaimKey.newBuilder()
                .setService(id.substring(0, separator))
                .setKey(id.substring(separator + 1))
                .build();
        return record.toBuilder().setClaim(name).build();
    }

    private static String id(String service, String key) {
        return service + "\n" + key;
    }

    private static CommandResult result(CommandResult.Kind kind, KeyRecord record) {
        StoredAnswer answer =
                kind == CommandResult.Kind.KEY_COMPLETED ? record.getAnswer() : StoredAnswer.getDefaultInstance();
        return CommandResult.newBuilder()
                .setKind(kind)
                .setHolder(record.getClaim().getHolder())
                .setHolderIncarnation(record.getClaim().getHolderIncarnation())
                .setAnswer(answer)
                .setAnswerKept(record.getAnswerKept())
                .setOutcomeUnknown(record.getOutcomeUnknown())
                .build();
    }
}
