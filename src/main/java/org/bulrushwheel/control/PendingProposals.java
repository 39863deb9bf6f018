package org.bulrushwheel.control;

import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.bulrushwheel.model.proto.CommandResult;
import org.bulrushwheel.model.proto.LogEntry;

/**
 * Proposals accepted by this leader whose log entries have not been applied yet.
 *
 * <p>Not thread safe: owned by the control thread.
 */
final class PendingProposals {
    private record Pending(long term, CompletableFuture<CommandResult> answer) {}

    private final TreeMap<Long, Pending> byIndex = new TreeMap<>();

    void add(long index, long term, CompletableFuture<CommandResult> answer) {
        byIndex.put(index, new Pending(term, answer));
    }

    /** Completes the proposal of an applied entry, with NOT_LEADER if another leader's entry has replaced it. */
    void applied(LogEntry entry, CommandResult result) {
        Pending pending = byIndex.remove(entry.getIndex());
        if (pending == null) {
            return;
        }
        pending.answer().complete(pending.term() == entry.getTerm() ? result : notLeader());
    }

    /** Completes all proposals with NOT_LEADER: this replica can no longer determine their outcome. */
    void failAll() {
        byIndex.values().forEach(pending -> pending.answer().complete(notLeader()));
        byIndex.clear();
    }

    static CommandResult notLeader() {
        return CommandResult.newBuilder().setKind(CommandResult.Kind.NOT_LEADER).build();
    }
}
