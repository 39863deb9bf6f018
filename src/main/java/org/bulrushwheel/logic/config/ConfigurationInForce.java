package org.bulrushwheel.logic.config;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

import io.vavr.control.Either;
import org.bulrushwheel.model.config.Configuration;
import org.bulrushwheel.model.config.VersionedConfiguration;
import org.bulrushwheel.model.proto.ConfigurationUpdate;

/**
 * The configuration that an instance follows, and the last few before it, from which updates for others are made.
 *
 * <p>Invariants: the version never goes down. After a start nothing is in force until a majority has confirmed the
 * newest version or, where control cannot be reached, the grace has passed; so an instance without a disk does not come
 * back under an older version than it had. Not thread safe.
 */
public final class ConfigurationInForce {
    private static final int VERSIONS_KEPT = 32;

    private final Deque<VersionedConfiguration> history = new ArrayDeque<>();
    private final long graceEndMillis;
    private VersionedConfiguration newest = VersionedConfiguration.NONE;
    private long awaitedVersion = Long.MAX_VALUE;
    private boolean inForce;

    /** Nothing in force yet; unconfirmed configurations are taken from this time on. */
    public ConfigurationInForce(long graceEndMillis) {
        this.graceEndMillis = graceEndMillis;
    }

    /** Returns the configuration in force. */
    public VersionedConfiguration current() {
        return inForce ? newest : VersionedConfiguration.NONE;
    }

    /** Returns the newest version that is known, whether in force or not. */
    public long knownVersion() {
        return newest.version();
    }

    /** Takes a configuration; true when it is newer than what was known. */
    public boolean offer(VersionedConfiguration offered, long nowMillis) {
        boolean newer = offered.version() > newest.version();
        if (newer) {
            newest = offered;
            history.addLast(offered);
            if (history.size() > VERSIONS_KEPT) {
                history.removeFirst();
            }
        }
        judge(nowMillis);
        return newer;
    }

    /** Notes that a majority has confirmed this version to be the newest at some time after the start. */
    public void confirm(long version, long nowMillis) {
        awaitedVersion = Math.min(awaitedVersion, version);
        judge(nowMillis);
    }

    /** Moves time on; true while nothing is in force for want of a confirmation. */
    public boolean awaitsConfirmation(long nowMillis) {
        judge(nowMillis);
        return !inForce;
    }

    /** Makes an update for somebody who has an older version; none when there is nothing newer. */
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

    /** Reads an update; on the left why it cannot be applied here. */
    public Either<String, VersionedConfiguration> read(ConfigurationUpdate update) {
        if (update.getFromVersion() == 0) {
            return ConfigurationCodec.read(update.getDocument(), Configuration.class)
                    .map(configuration ->
                            new VersionedConfiguration(update.getToVersion(), configuration, update.getDocument()));
        }
        if (update.getFromVersion() != newest.version()) {
            return Either.left("it is made from version " + update.getFromVersion());
        }
        return new ConfigurationDelta(update.getUpsertsList(), update.getRemovalsList())
                .applyTo(newest.configuration())
                .map(configuration -> new VersionedConfiguration(update.getToVersion(), configuration, ""));
    }

    private void judge(long nowMillis) {
        boolean confirmed = newest.version() >= awaitedVersion;
        inForce = inForce || confirmed || nowMillis >= graceEndMillis;
    }
}
