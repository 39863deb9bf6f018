package org.bulrushwheel.logic.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.bulrushwheel.model.proto.HardState;
import org.bulrushwheel.model.proto.LogEntry;
import org.bulrushwheel.model.proto.RaftMessage;
import org.bulrushwheel.model.proto.SnapshotFile;

/**
 * Accumulates work for the driver until the next {@link RaftReady}.
 *
 * <p>Not thread safe: owned by one {@link RaftNode}.
 */
final class RaftOutbox {
    private Optional<HardState> hardState = Optional.empty();
    private Optional<SnapshotFile> installed = Optional.empty();
    private Optional<Long> truncateAfter = Optional.empty();
    private List<LogEntry> entries = new ArrayList<>();
    private List<RaftMessage> messages = new ArrayList<>();
    private List<Long> confirmedReads = new ArrayList<>();

    void store(HardState newHardState) {
        hardState = Optional.of(newHardState);
    }

    void store(LogEntry entry) {
        entries.add(entry);
    }

    void install(SnapshotFile snapshot) {
        installed = Optional.of(snapshot);
        entries.clear();
        truncateAfter = Optional.empty();
    }

    /** Discards pending entries after the index, and requests truncation of those that are already stored. */
    void truncateAfter(long index) {
        entries.removeIf(entry -> entry.getIndex() > index);
        truncateAfter = Optional.of(Math.min(index, truncateAfter.orElse(index)));
    }

    void send(RaftMessage message) {
        messages.add(message);
    }

    void confirm(List<Long> reads) {
        confirmedReads.addAll(reads);
    }

    RaftReady take(List<LogEntry> committed) {
        RaftReady ready = new RaftReady(
                hardState,
                installed,
                truncateAfter,
                List.copyOf(entries),
                List.copyOf(messages),
                List.copyOf(committed),
                List.copyOf(confirmedReads));
        hardState = Optional.empty();
        installed = Optional.empty();
        truncateAfter = Optional.empty();
        entries = new ArrayList<>();
        messages = new ArrayList<>();
        confirmedReads = new ArrayList<>();
        return ready;
    }
}
