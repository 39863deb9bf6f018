package org.bulrushwheel.control;

import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.bulrushwheel.model.proto.CommandResult;
import org.bulrushwheel.model.proto.LogEntry;

/**
 * Proposals of this leader whose entries are not applied yet.
 *
 * <p>Not thread safe: owned by the control thread.
 */
final class PendingProposals {
    private record Pending(long term, CompletableFuture<CommandResult> answer) {}

    private final TreeMap<Long, Pending> byIndex = new TreeMap<>();

    void add(long index, long term, CompletableFuture<CommandResult> answer) {
        byIndex.put(index, new Pending(term, answer));
    }

    /** Answers the proposal of an applied entry; one that another leader's entry replaced has no known outcome. */
    void applied(LogEntry entry, CommandResult result) {
        Pending pending = byIndex.remove(entry.getIndex());
        if (pending == null) {
            return;
        }
        pending.answer().complete(pending.term() == entry.getTerm() ? result : notLeader());
    }

    /** Answers all: this replica leads no more, so their outcome is not known here. */
    void abandon() {
        byIndex.values().forEach(pending -> pending.answer().complete(notLeader()));
        byIndex.clear();
    }

    static CommandResult notLeader() {
        return CommandResult.newBuilder().setKind(CommandResult.Kind.NOT_LEADER).build();
    }
}
