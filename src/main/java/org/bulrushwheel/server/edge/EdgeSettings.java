package org.bulrushwheel.server.edge;

import org.bulrushwheel.logic.placement.PlacementSettings;
import org.bulrushwheel.model.instance.Address;

/**
 * What an entry instance's request path needs to know.
 *
 * <p>Immutable and thread safe.
 *
 * @param listen listener for callers
 * @param placement where this instance stands
 * @param retryWindowMillis window of the shared bound on retries
 * @param retryRatio retries for each request in it
 * @param retrySlack retries beyond that for all instances together
 */
public record EdgeSettings(
        Address listen, PlacementSettings placement, long retryWindowMillis, double retryRatio, double retrySlack) {}
