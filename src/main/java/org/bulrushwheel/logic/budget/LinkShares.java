package org.bulrushwheel.logic.budget;

import org.bulrushwheel.model.config.Configuration;
import org.bulrushwheel.model.config.Link;

/**
 * Splits the capacity of the links between regions over the instances that use them.
 *
 * <p>Stateless and thread safe.
 */
public final class LinkShares {
    /** Share of a link for requests of one side, in thousandths; the other side has the same, the rest is spare. */
    private static final long SHARE_PER_THOUSAND = 450;

    private LinkShares() {}

    /**
     * Returns the share of one instance in bytes per second; 0 if there is no link between the regions.
     *
     * @param configuration configuration in force
     * @param ownRegion region of the instance
     * @param otherRegion region at the other end
     * @param instances number of instances in the instance's own region
     */
    public static long bytesPerSecond(
            Configuration configuration, String ownRegion, String otherRegion, int instances) {
        return configuration.links().stream()
                .filter(link -> connects(link, ownRegion, otherRegion))
                .mapToLong(link -> link.capacityBytesPerSecond() * SHARE_PER_THOUSAND / 1_000 / Math.max(1, instances))
                .findFirst()
                .orElse(0);
    }

    private static boolean connects(Link link, String one, String other) {
        return (link.from().equals(one) && link.to().equals(other))
                || (link.from().equals(other) && link.to().equals(one));
    }
}
