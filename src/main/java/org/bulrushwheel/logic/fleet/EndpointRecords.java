package org.bulrushwheel.logic.fleet;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

import org.bulrushwheel.model.proto.EndpointLeave;
import org.bulrushwheel.model.proto.EndpointRecord;
import org.bulrushwheel.model.proto.EndpointRecord.State;

/**
 * Ordering rules for the records that endpoints announce.
 *
 * <p>Invariant: an incarnation that drains or has left never becomes ready again. Stateless and thread safe.
 */
public final class EndpointRecords {
    private EndpointRecords() {}

    /** Whether the endpoint has left or is silent, and so receives no requests. */
    public static boolean isEnded(EndpointRecord record) {
        return record.getState() == State.LEFT || record.getState() == State.SILENT;
    }

    /**
     * Whether a record supersedes the current one of its endpoint: it is not older, and it changes something or says how
     * long the endpoint is still cold, which may be longer than before.
     */
    public static boolean isNewer(EndpointRecord record, Optional<EndpointRecord> current) {
        if (current.isEmpty()) {
            return true;
        }
        EndpointRecord old = current.get();
        if (record.getBornEpochMillis() != old.getBornEpochMillis()) {
            return record.getBornEpochMillis() > old.getBornEpochMillis();
        }
        if (isFinal(old.getState()) && rank(record.getState()) <= rank(old.getState())) {
            return false;
        }
        if (record.getState() == State.SILENT) {
            return old.getState() == State.READY && record.getSequence() >= old.getSequence();
        }
        boolean ends = rank(record.getState()) > rank(old.getState());
        return ends || (record.getSequence() > old.getSequence() && (differs(record, old) || isCold(record)));
    }

    /** Whether a record changes nothing about the incarnation, except how long the endpoint is still cold. */
    public static boolean isRepeated(EndpointRecord record, EndpointRecord current) {
        return record.getBornEpochMillis() == current.getBornEpochMillis() && !differs(record, current);
    }

    /** Returns, marked as left, the records of earlier endpoints whose address a ready endpoint has taken over. */
    public static List<EndpointRecord> supersede(Collection<EndpointRecord> current, EndpointRecord record) {
        boolean starts = record.getState() == State.READY;
        return current.stream()
                .filter(old -> starts && !old.getId().equals(record.getId()))
                .filter(old -> old.getAddress().equals(record.getAddress()) && old.getState() != State.LEFT)
                .filter(old -> old.getBornEpochMillis() < record.getBornEpochMillis())
                .map(old -> old.toBuilder().setState(State.LEFT).build())
                .toList();
    }

    private static boolean differs(EndpointRecord one, EndpointRecord other) {
        return one.getState() != other.getState()
                || !one.getAddress().equals(other.getAddress())
                || !one.getService().equals(other.getService())
                || !one.getZone().equals(other.getZone())
                || one.getSlots() != other.getSlots()
                || isCold(one) != isCold(other);
    }

    private static boolean isCold(EndpointRecord record) {
        return record.getColdRemainingMillis() > 0;
    }

    /** Whether a leave concerns the current incarnation, and is not a late one of an earlier incarnation. */
    public static boolean isOf(EndpointLeave leave, EndpointRecord current) {
        return leave.getBornEpochMillis() == 0 || leave.getBornEpochMillis() >= current.getBornEpochMillis();
    }

    /** Whether the record already says that the incarnation that leaves, or a later one, has left. */
    public static boolean isRecorded(EndpointLeave leave, EndpointRecord current) {
        return current.getState() == State.LEFT && leave.getBornEpochMillis() <= current.getBornEpochMillis();
    }

    /** Returns the record of an endpoint after a leave; that of its incarnation may not have been recorded before. */
    static EndpointRecord left(EndpointLeave leave, EndpointRecord current) {
        return current.toBuilder()
                .setBornEpochMillis(Math.max(leave.getBornEpochMillis(), current.getBornEpochMillis()))
                .setState(State.LEFT)
                .build();
    }

    private static boolean isFinal(State state) {
        return state == State.DRAINING || state == State.LEFT;
    }

    private static int rank(State state) {
        return switch (state) {
            case DRAINING -> 1;
            case LEFT -> 2;
            default -> 0;
        };
    }
}
