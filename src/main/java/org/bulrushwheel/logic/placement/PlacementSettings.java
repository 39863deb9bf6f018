package org.bulrushwheel.logic.placement;

import java.util.List;

/**
 * Settings of the deployment that the choice of an endpoint depends on.
 *
 * <p>Immutable and thread safe.
 *
 * @param instance name of this instance
 * @param region region of this instance and its callers
 * @param regions all regions
 * @param coldLoadFactor factor by which the request rate of a cold endpoint may be exceeded
 * @param coldSlackRequests additional requests per second that a cold endpoint can serve
 */
public record PlacementSettings(
        String instance, String region, List<String> regions, double coldLoadFactor, double coldSlackRequests) {
    /** Copies the regions. */
    public PlacementSettings {
        regions = List.copyOf(regions);
    }
}
