package org.bulrushwheel.control;

import java.nio.file.Path;
import java.util.List;
import java.util.function.Supplier;

import org.bulrushwheel.model.instance.Instance;
import org.bulrushwheel.model.settings.Settings;

/**
 * What a control replica needs to know of itself and of where others may be.
 *
 * <p>Immutable and thread safe, if the supplier is.
 *
 * @param instance name of this instance among its peers
 * @param dataFolder folder of its files
 * @param joinTargets instances that may hold a replica, asked whenever this one is no voter
 * @param removesLostVoters whether a voter that stays away loses its vote, so that replacements need no operator
 * @param snapshotLogBytes size of the log at which a snapshot replaces it
 * @param entriesKept entries that stay in memory behind a snapshot, so that slow replicas need none
 */
public record ReplicaSettings(
        String instance,
        Path dataFolder,
        Supplier<List<String>> joinTargets,
        boolean removesLostVoters,
        long snapshotLogBytes,
        long entriesKept) {
    private static final long LISTED_SNAPSHOT_LOG_BYTES = 32L * 1024 * 1024;
    private static final long LISTED_ENTRIES_KEPT = 1_000;

    /** The settings of a deployment that lists its instances. */
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
                LISTED_SNAPSHOT_LOG_BYTES,
                LISTED_ENTRIES_KEPT);
    }
}
