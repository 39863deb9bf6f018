package org.bulrushwheel.model.traffic;

/**
 * A service and its share of a route's requests.
 *
 * <p>Immutable and thread safe.
 *
 * @param service name of the service
 * @param weight share relative to the other weights of the route
 */
public record WeightedService(String service, double weight) {}
