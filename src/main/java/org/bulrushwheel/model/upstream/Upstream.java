package org.bulrushwheel.model.upstream;

/**
 * One announced upstream endpoint. Of two announcements of one endpoint the one with the higher sequence stands.
 *
 * <p>Immutable and thread safe.
 *
 * @param service service that it serves
 * @param endpoint unique name of the endpoint within the service
 * @param zone availability zone
 * @param address where it listens, as IP:PORT
 * @param slots requests that it runs at once
 * @param sequence orders announcements
 * @param expiresAtEpochMillis end of the announcement
 * @param leaving whether it has said that it is leaving
 * @param startedAtEpochMillis when it began to serve, for slow start
 * @param reportedLoad last reported load as a fraction of its slots; only orders candidates
 */
public record Upstream(
        String service,
        String endpoint,
        String zone,
        String address,
        int slots,
        long sequence,
        long expiresAtEpochMillis,
        boolean leaving,
        long startedAtEpochMillis,
        double reportedLoad) {
    /** Whether new work may be sent at this time. */
    public boolean isAvailableAt(long nowEpochMillis) {
        return !leaving && nowEpochMillis < expiresAtEpochMillis;
    }

    /** Identity of the endpoint over all services. */
    public String id() {
        return service + "/" + endpoint;
    }
}
