package org.bulrushwheel.server.edge;

import org.bulrushwheel.logic.placement.PlacementSettings;
import org.bulrushwheel.model.instance.Address;

/**
 * Settings of an entry instance's request path.
 *
 * <p>Immutable and thread safe.
 *
 * @param listen address of the listener for callers
 * @param placement location of this instance and settings of endpoint selection
 * @param retryWindowMillis length of the sliding window of the shared retry budget
 * @param retryRatio allowed retries per request in the window
 * @param retrySlack additional retries in the window, shared by all instances
 * @param linkBytesPerSecond capacity of this instance's link, 0 if unknown
 * @param maxHeldBytes bytes of bodies that this process may hold for all requests together
 */
public record EdgeSettings(
        Address listen,
        PlacementSettings placement,
        long retryWindowMillis,
        double retryRatio,
        double retrySlack,
        double linkBytesPerSecond,
        long maxHeldBytes) {
    /** Returns how many bytes of bodies a process with the memory of this one can hold. */
    public static long maxHeldBytesOfProcess() {
        return HeldBytes.limitOfProcess();
    }
}
