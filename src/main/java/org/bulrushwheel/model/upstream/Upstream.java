package org.bulrushwheel.model.upstream;

/**
 * An announced upstream endpoint. Of two announcements of an endpoint, the one with the higher sequence wins.
 *
 * <p>Immutable and thread safe.
 *
 * @param service service that it belongs to
 * @param endpoint unique name of the endpoint within the service
 * @param zone availability zone
 * @param address listening address, as IP:PORT
 * @param slots maximum number of concurrent requests
 * @param sequence orders announcements
 * @param expiresAtEpochMillis expiry of the announcement
 * @param leaving whether it has announced that it is leaving
 * @param startedAtEpochMillis start time, from which slow start is computed
 * @param reportedLoad last reported load as a fraction of its slots; used only to order candidates
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
    /** Whether the endpoint may receive new requests at this time. */
    public boolean isAvailableAt(long nowEpochMillis) {
        return !leaving && nowEpochMillis < expiresAtEpochMillis;
    }

    /** Returns an id that is unique across services. */
    public String id() {
        return service + "/" + endpoint;
    }
}
