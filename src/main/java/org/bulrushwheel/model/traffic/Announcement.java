package org.bulrushwheel.model.traffic;

/**
 * State that an endpoint announces through the project's own interface.
 *
 * <p>Immutable and thread safe.
 *
 * @param service service that it belongs to
 * @param address IP and port
 * @param zone availability zone
 * @param slots maximum number of concurrent requests
 * @param draining whether it accepts no new requests
 * @param bornEpochMillis start time of its incarnation
 * @param sequence increases with each announcement
 * @param coldRemainingMillis remaining time during which it is cold
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
