package org.bulrushwheel.model.traffic;

/**
 * What an endpoint says of itself in the project's own interface.
 *
 * <p>Immutable and thread safe.
 *
 * @param service service that it belongs to
 * @param address IP and port
 * @param zone availability zone
 * @param slots requests that it runs at once
 * @param draining whether it is to get no new work
 * @param bornEpochMillis time of its start
 * @param sequence grows with each announcement
 * @param coldRemainingMillis how much longer it is cold
 */
public record Announcement(
        String service,
        String address,
        String zone,
        int slots,
        boolean draining,
        long bornEpochMillis,
        long sequence,
        long coldRemainingMillis) {}
