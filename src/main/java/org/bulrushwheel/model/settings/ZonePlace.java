package org.bulrushwheel.model.settings;

/**
 * An availability zone and its region.
 *
 * <p>Immutable and thread safe.
 *
 * @param zone name of the zone
 * @param region name of its region
 */
public record ZonePlace(String zone, String region) {}
