package org.bulrushwheel.model.config;

/**
 * A configuration with the version under which it was accepted. Versions only grow; 0 means none yet.
 *
 * <p>Immutable and thread safe.
 *
 * @param version accepted version
 * @param configuration the content
 * @param document the accepted document; empty where the configuration was made from changes
 */
public record VersionedConfiguration(long version, Configuration configuration, String document) {
    /** What an instance has before it has heard of any accepted configuration. */
    public static final VersionedConfiguration NONE = new VersionedConfiguration(0, Configuration.EMPTY, "");
}
