package org.bulrushwheel.logic.steering;

import java.util.OptionalLong;

import org.bulrushwheel.model.proto.SlotRequest;
import org.bulrushwheel.model.refusal.RefusalReason;

/** Action that the caller of a {@link ServiceSlots} has to carry out. Immutable and thread safe. */
public sealed interface SlotAction {
    /**
     * Send a request to an endpoint.
     *
     * @param requestId id of the request
     * @param zone zone of the endpoint
     * @param endpoint name of the endpoint
     */
    record Dispatch(long requestId, String zone, String endpoint) implements SlotAction {}

    /**
     * Send a slot request to the owner of a zone's pool.
     *
     * @param zone zone of the pool
     * @param request slot request to send
     */
    record RequestSlots(String zone, SlotRequest request) implements SlotAction {}

    /**
     * Refuse a request that was not dispatched.
     *
     * @param requestId id of the request
     * @param reason reason of the refusal
     * @param pauseMillis time until the first endpoint takes requests again, if all of them leave or pause; empty otherwise
     */
    record Refuse(long requestId, RefusalReason reason, OptionalLong pauseMillis) implements SlotAction {
        /** Creates a refusal that has another cause than a pause of endpoints. */
        public Refuse(long requestId, RefusalReason reason) {
            this(requestId, reason, OptionalLong.empty());
        }
    }
}
