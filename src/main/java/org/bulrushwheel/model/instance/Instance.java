package org.bulrushwheel.model.instance;

/**
 * An instance of the system, with its location and addresses.
 *
 * <p>Immutable and thread safe.
 *
 * @param name unique in the deployment
 * @param zone availability zone
 * @param region region of the zone
 * @param httpAddress address for callers, upstreams and operators
 * @param peerAddress address for other instances
 * @param control whether it holds a replica of the control state
 */
public record Instance(
        String name, String zone, String region, String httpAddress, String peerAddress, boolean control) {}
