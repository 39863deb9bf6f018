package org.bulrushwheel.standin;

/**
 * How a stand-in upstream behaves.
 *
 * <p>Immutable and thread safe.
 *
 * @param service service that it serves
 * @param endpoint name of the endpoint
 * @param zone availability zone
 * @param slots requests that it runs at once; more are shed
 * @param serviceMillis time that a request takes when it names none
 * @param coldMillis time after the start during which requests take twice as long
 * @param silentAfterMillis age at which connections go silent for good, 0 for never
 * @param reportedLoadPercent load that it reports whatever is true, below 0 for the true one
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
    /** A well-behaved endpoint. */
    public static StandInBehaviour plain(String service, String endpoint, String zone, int slots, long serviceMillis) {
        return new StandInBehaviour(service, endpoint, zone, slots, serviceMillis, 0, 0, -1);
    }

    /** Returns the same behaviour with connections that go silent at this age. */
    public StandInBehaviour withSilentAfterMillis(long millis) {
        return new StandInBehaviour(
                service, endpoint, zone, slots, serviceMillis, coldMillis, millis, reportedLoadPercent);
    }

    /** Returns the same behaviour with a report that does not follow the truth. */
    public StandInBehaviour withReportedLoadPercent(int percent) {
        return new StandInBehaviour(
                service, endpoint, zone, slots, serviceMillis, coldMillis, silentAfterMillis, percent);
    }
}
