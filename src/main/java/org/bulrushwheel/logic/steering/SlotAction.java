package org.bulrushwheel.logic.steering;

import org.bulrushwheel.model.proto.SlotRequest;
import org.bulrushwheel.model.refusal.RefusalReason;

/** What a {@link ServiceSlots} wants done. Immutable and thread safe. */
public sealed interface SlotAction {
    /**
     * Send a request to an endpoint.
     *
     * @param requestId the request
     * @param zone zone of the endpoint
     * @param endpoint name of the endpoint
     */
    record Dispatch(long requestId, String zone, String endpoint) implements SlotAction {}

    /**
     * Send a message to the owner of a zone's pool.
     *
     * @param zone the zone
     * @param request the message
     */
    record Ask(String zone, SlotRequest request) implements SlotAction {}

    /**
     * Refuse a request that was not sent anywhere.
     *
     * @param requestId the request
     * @param reason why
     */
    record Refuse(long requestId, RefusalReason reason) implements SlotAction {}
}
