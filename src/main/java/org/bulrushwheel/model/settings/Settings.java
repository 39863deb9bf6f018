package org.bulrushwheel.model.settings;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.bulrushwheel.model.instance.Instance;
import org.jspecify.annotations.Nullable;

/**
 * Settings of one process, as read from its file.
 *
 * <p>Immutable and thread safe.
 *
 * @param instance name of the instance
 * @param zone availability zone
 * @param region region of the zone
 * @param httpAddress listener for callers, upstreams and operators, as IP:PORT
 * @param peerAddress listener for other instances, as IP:PORT
 * @param dataFolder data folder of a control replica; absent on instances without a disk
 * @param administrationTokenSha256 SHA-256 in hex of the first operator's bearer token; optional
 * @param logFormat {@code plain} or {@code json}; optional
 * @param peers the other instances
 */
public record Settings(
        String instance,
        String zone,
        String region,
        String httpAddress,
        String peerAddress,
        @Nullable String dataFolder,
        @Nullable String administrationTokenSha256,
        @Nullable String logFormat,
        List<Instance> peers) {
    /** Copies the peers; a missing list becomes empty. */
    public Settings {
        peers = peers == null ? List.of() : List.copyOf(peers);
    }

    /** Returns the description of this process that its peers use. */
    public Instance self() {
        return new Instance(instance, zone, region, httpAddress, peerAddress, dataFolder != null);
    }

    /** Returns this instance and its peers. */
    public List<Instance> instances() {
        return Stream.concat(Stream.of(self()), peers.stream())
                .sorted(java.util.Comparator.comparing(Instance::name))
                .toList();
    }

    /** Returns the data folder of a control replica. */
    public Optional<java.nio.file.Path> dataPath() {
        return Optional.ofNullable(dataFolder).map(java.nio.file.Path::of);
    }
}
