package org.bulrushwheel.measure.affinity;

import org.bulrushwheel.logic.placement.PlacementQuery;
import org.bulrushwheel.model.traffic.Endpoint;

/**
 * A simulated request that has been assigned to an endpoint.
 *
 * <p>Immutable and thread safe.
 *
 * @param entry index of the entry instance
 * @param startMillis virtual time at which the caller sent the request
 * @param query placement query with the route and the object as affinity key
 * @param endpoint endpoint that the request was sent to
 */
record ModelRequest(int entry, double startMillis, PlacementQuery query, Endpoint endpoint) {}
