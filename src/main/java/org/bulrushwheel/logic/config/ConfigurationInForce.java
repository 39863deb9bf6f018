package org.bulrushwheel.logic.config;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

import io.vavr.control.Either;
import org.bulrushwheel.model.config.Configuration;
import org.bulrushwheel.model.config.VersionedConfiguration;
import org.bulrushwheel.model.proto.ConfigurationUpdate;

/**
 * The configuration that an instance applies, with a history of recent versions from which updates for other instances
 * are computed.
 *
 * <p>Invariants: the version never decreases. After a start, no configuration is in force until a majority has confirmed
 * the newest version or, if the control instances cannot be reached, until the grace period has ended. This keeps an
 * instance without a disk from restarting with an older version than it had before. Not thread safe.
 */
public final class ConfigurationInForce {
    private static final int MAX_HISTORY_VERSIONS = 32;

    private final Deque<VersionedConfiguration> history = new ArrayDeque<>();
    private final long graceEndMillis;
    private VersionedConfiguration newest = VersionedConfiguration.NONE;
    private long requiredVersion = Long.MAX_VALUE;
    private boolean inForce;

    /**
     * Creates an instance with no configuration in force.
     *
     * @param graceEndMillis monotonic time from which unconfirmed configurations take effect
     */
    public ConfigurationInForce(long graceEndMillis) {
        this.graceEndMillis = graceEndMillis;
    }

    /** Returns the configuration in force; {@link VersionedConfiguration#NONE} if there is none. */
    public VersionedConfiguration current() {
        return inForce ? newest : VersionedConfiguration.NONE;
    }

    /** Returns the newest known version, whether in force or not. */
    public long knownVersion() {
        return newest.version();
    }

    /** Stores a configuration if it is newer than the newest known one, and returns whether it is. */
    public boolean offer(VersionedConfiguration offered, long nowMillis) {
        boolean newer = offered.version() > newest.version();
        if (newer) {
            newest = offered;
            history.addLast(offered);
            if (history.size() > MAX_HISTORY_VERSIONS) {
                history.removeFirst();
            }
        }
        updateInForce(nowMillis);
        return newer;
    }

    /** Records that a majority has confirmed this version as the newest at some time after the start. */
    public void confirm(long version, long nowMillis) {
        requiredVersion = Math.min(requiredVersion, version);
        updateInForce(nowMillis);
    }

    /** Re-evaluates the state at this time and returns whether it still waits for a confirmation. */
    public boolean awaitsConfirmation(long nowMillis) {
        updateInForce(nowMillis);
        return !inForce;
    }

    /** Returns an update for an instance that has this version; empty when no newer version is known. */
    public Optional<ConfigurationUpdate> updateFrom(long haveVersion) {
        if (haveVersion >= newest.version()) {
            return Optional.empty();
        }
        ConfigurationUpdate.Builder update = ConfigurationUpdate.newBuilder().setToVersion(newest.version());
        Optional<VersionedConfiguration> base =
                history.stream().filter(known -> known.version() == haveVersion).findFirst();
        if (base.isEmpty()) {
            return Optional.of(
                    update.setDocument(ConfigurationCodec.documentOf(newest)).build());
        }
        ConfigurationDelta delta = ConfigurationDelta.between(base.get().configuration(), newest.configuration());
        return Optional.of(update.setFromVersion(haveVersion)
                .addAllUpserts(delta.upserts())
                .addAllRemovals(delta.removals())
                .build());
    }

    /** Reads an update; the left value says why it cannot be applied. */
    public Either<String, VersionedConfiguration> read(ConfigurationUpdate update) {
        if (update.getFromVersion() == 0) {
            return ConfigurationCodec.read(update.getDocument(), Configuration.class)
                    .map(configuration ->
                            new VersionedConfiguration(update.getToVersion(), configuration, update.getDocument()));
        }
        if (update.getFromVersion() != newest.version()) {
            return Either.left("the update is based on version " + update.getFromVersion());
        }
        return new ConfigurationDelta(update.getUpsertsList(), update.getRemovalsList())
                .applyTo(newest.configuration())
                .map(configuration -> new VersionedConfiguration(update.getToVersion(), configuration, ""));
    }

    private void updateInForce(long nowMillis) {
        boolean confirmed = newest.version() >= requiredVersion;
        inForce = inForce || confirmed || nowMillis >= graceEndMillis;
    }
}
