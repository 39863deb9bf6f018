package org.bulrushwheel.logic.budget;

import org.bulrushwheel.model.config.Configuration;
import org.bulrushwheel.model.config.Link;

/**
 * Splits the links between regions over the instances that may fill them.
 *
 * <p>Stateless and thread safe.
 */
public final class LinkShares {
    /** Parts of a link in a thousand that requests of one side may fill: the other side has as many, the rest is spare. */
    private static final long SHARE_PER_THOUSAND = 450;

    private LinkShares() {}

    /**
     * Returns the share of one instance; 0 without a link.
     *
     * @param configuration configuration in force
     * @param ownRegion region of the instance
     * @param otherRegion region at the other end
     * @param instances instances of the own region
     */
    public static long bytesPerSecond(
            Configuration configuration, String ownRegion, String otherRegion, int instances) {
        return configuration.links().stream()
                .filter(link -> joins(link, ownRegion, otherRegion))
                .mapToLong(link -> link.capacityBytesPerSecond() * SHARE_PER_THOUSAND / 1_000 / Math.max(1, instances))
                .findFirst()
                .orElse(0);
    }

    private static boolean joins(Link link, String one, String other) {
        return (link.from().equals(one) && link.to().equals(other))
                || (link.from().equals(other) && link.to().equals(one));
    }
}
