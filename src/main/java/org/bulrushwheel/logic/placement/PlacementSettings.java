package org.bulrushwheel.logic.placement;

import java.util.List;

/**
 * What the choice of an endpoint needs to know of the deployment.
 *
 * <p>Immutable and thread safe.
 *
 * @param instance name of this instance
 * @param region region of this instance and its callers
 * @param regions all regions
 * @param coldLoadFactor how far a cold endpoint's rate may be exceeded
 * @param coldSlackRequests requests in a second that a cold endpoint bears beyond that
 */
public record PlacementSettings(
        String instance, String region, List<String> regions, double coldLoadFactor, double coldSlackRequests) {
    /** Copies the regions. */
    public PlacementSettings {
        regions = List.copyOf(regions);
    }
}
