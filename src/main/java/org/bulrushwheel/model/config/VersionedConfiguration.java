package org.bulrushwheel.model.config;

/**
 * A configuration with the version under which it was accepted. Versions only increase; 0 means none yet.
 *
 * <p>Immutable and thread safe.
 *
 * @param version accepted version
 * @param configuration the content
 * @param document the accepted document; empty if the configuration was built from a delta
 */
public record VersionedConfiguration(long version, Configuration configuration, String document) {
    /** Value that an instance uses until it has received an accepted configuration. */
    public static final VersionedConfiguration NONE = new VersionedConfiguration(0, Configuration.EMPTY, "");
}
