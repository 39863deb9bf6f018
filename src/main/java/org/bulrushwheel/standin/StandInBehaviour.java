package org.bulrushwheel.standin;

/**
 * Configures the behaviour and the simulated faults of a stand-in upstream.
 *
 * <p>Immutable and thread safe.
 *
 * @param service name of the service that the endpoint belongs to
 * @param endpoint name of the endpoint
 * @param zone availability zone
 * @param slots maximum number of concurrent requests; requests beyond it are shed
 * @param serviceMillis service time of a request without a {@code delayMillis} parameter
 * @param coldMillis warm-up period after the start, during which requests take twice as long
 * @param silentAfterMillis time after the first request on a connection from which its requests get no
 *     response, 0 for never
 * @param reportedLoadPercent fixed load to report in percent, or a negative value to report the measured load
 */
public record StandInBehaviour(
        String service,
        String endpoint,
        String zone,
        int slots,
        long serviceMillis,
        long coldMillis,
        long silentAfterMillis,
        int reportedLoadPercent) {
    /** Returns the behaviour of an endpoint without warm-up period and without simulated faults. */
    public static StandInBehaviour plain(String service, String endpoint, String zone, int slots, long serviceMillis) {
        return new StandInBehaviour(service, endpoint, zone, slots, serviceMillis, 0, 0, -1);
    }

    /** Returns a copy whose connections stop responding this many milliseconds after their first request. */
    public StandInBehaviour withSilentAfterMillis(long millis) {
        return new StandInBehaviour(
                service, endpoint, zone, slots, serviceMillis, coldMillis, millis, reportedLoadPercent);
    }

    /** Returns a copy that reports this fixed load instead of the measured one. */
    public StandInBehaviour withReportedLoadPercent(int percent) {
        return new StandInBehaviour(
                service, endpoint, zone, slots, serviceMillis, coldMillis, silentAfterMillis, percent);
    }
}
