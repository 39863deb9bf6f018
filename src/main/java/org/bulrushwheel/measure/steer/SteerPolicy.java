package org.bulrushwheel.measure.steer;

import java.util.function.Consumer;

/** How an entry instance finds an endpoint for a request. */
interface SteerPolicy {
    /**
     * Looks for an endpoint.
     *
     * @param entry number of the entry instance
     * @param request the request
     * @param chosen is given the endpoint, at once or later, or null for a refusal
     */
    void choose(int entry, SteerRequest request, Consumer<SteerEndpoint> chosen);

    /** Notes that the answer of an attempt has reached the entry instance. */
    void finished(int entry, SteerEndpoint endpoint, boolean shed);

    /** Called every few milliseconds of virtual time. */
    void tick();

    /** Notes that an endpoint leaves: news of it has reached its zone. */
    void leave(SteerEndpoint endpoint);

    /** Notes that a zone with its instances and endpoints is lost. */
    void loseZone(String zone);

    /** Whether a shed request may be sent again. */
    boolean retriesSheds();
}
