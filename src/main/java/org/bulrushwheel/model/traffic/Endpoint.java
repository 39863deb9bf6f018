package org.bulrushwheel.model.traffic;

/**
 * An endpoint that may receive requests.
 *
 * <p>Immutable and thread safe.
 *
 * @param id id of the endpoint
 * @param bornEpochMillis start of this incarnation, in milliseconds since the epoch; 0 if unknown
 * @param service service that it belongs to
 * @param address IP and port
 * @param zone availability zone
 * @param region region of the zone
 * @param slots maximum number of concurrent requests
 * @param coldDeadlineMillis monotonic time until which it is cold
 */
public record Endpoint(
        String id,
        long bornEpochMillis,
        String service,
        String address,
        String zone,
        String region,
        int slots,
        long coldDeadlineMillis) {
    /** Whether the endpoint is cold at this monotonic time. */
    public boolean isCold(long nowMillis) {
        return nowMillis < coldDeadlineMillis;
    }
}
