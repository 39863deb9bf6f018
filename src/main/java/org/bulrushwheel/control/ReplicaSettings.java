package org.bulrushwheel.control;

import java.nio.file.Path;
import java.util.List;
import java.util.function.Supplier;

import org.bulrushwheel.model.instance.Instance;
import org.bulrushwheel.model.settings.Settings;

/**
 * Settings of a control replica.
 *
 * <p>Immutable; thread safe if the supplier is.
 *
 * @param instance name of this instance among its peers
 * @param dataFolder folder of the replica's identity, log and snapshot
 * @param joinTargets instances that may run a replica, which receive join requests while this replica is not a voter
 * @param removesLostVoters whether unresponsive voters are removed, so that a replacement needs no operator
 * @param snapshotLogBytes size of the log file that triggers a snapshot
 * @param entriesKept entries before a snapshot that are retained in memory, so that slow replicas need no snapshot
 */
public record ReplicaSettings(
        String instance,
        Path dataFolder,
        Supplier<List<String>> joinTargets,
        boolean removesLostVoters,
        long snapshotLogBytes,
        long entriesKept) {
    private static final long DEFAULT_SNAPSHOT_LOG_BYTES = 32L * 1024 * 1024;
    private static final long DEFAULT_ENTRIES_KEPT = 1_000;

    /** Returns the settings for a deployment with a static list of instances. */
    public static ReplicaSettings of(Settings settings) {
        List<String> control = settings.peers().stream()
                .filter(Instance::control)
                .map(Instance::name)
                .toList();
        return new ReplicaSettings(
                settings.instance(),
                settings.dataPath().orElseThrow(),
                () -> control,
                false,
                DEFAULT_SNAPSHOT_LOG_BYTES,
                DEFAULT_ENTRIES_KEPT);
    }
}
