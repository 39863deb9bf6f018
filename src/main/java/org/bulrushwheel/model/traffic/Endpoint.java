package org.bulrushwheel.model.traffic;

/**
 * An endpoint that may get work.
 *
 * <p>Immutable and thread safe.
 *
 * @param id identity of its incarnation
 * @param service service that it belongs to
 * @param address IP and port
 * @param zone availability zone
 * @param region region of the zone
 * @param slots requests that it runs at once
 * @param coldDeadlineMillis monotonic time until which it is cold
 */
public record Endpoint(
        String id, String service, String address, String zone, String region, int slots, long coldDeadlineMillis) {
    /** Whether it is cold at this monotonic time. */
    public boolean isCold(long nowMillis) {
        return nowMillis < coldDeadlineMillis;
    }
}
