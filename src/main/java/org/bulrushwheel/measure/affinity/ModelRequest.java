package org.bulrushwheel.measure.affinity;

import org.bulrushwheel.logic.placement.PlacementQuery;
import org.bulrushwheel.model.traffic.Endpoint;

/**
 * A request at an endpoint.
 *
 * <p>Immutable and thread safe.
 *
 * @param entry index of the entry instance
 * @param startMillis when the caller sent it
 * @param query object and route
 * @param endpoint where it is
 */
record ModelRequest(int entry, double startMillis, PlacementQuery query, Endpoint endpoint) {}
