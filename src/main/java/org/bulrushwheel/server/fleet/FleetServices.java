package org.bulrushwheel.server.fleet;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import org.bulrushwheel.model.instance.Address;
import org.bulrushwheel.model.proto.EndpointLeave;
import org.bulrushwheel.model.proto.EndpointRecord;
import org.bulrushwheel.model.proto.TrafficDocument;
import org.bulrushwheel.server.api.CallerPresence;

/**
 * Operations that a control instance offers to callers, endpoints and operators, independent of the protocol through
 * which they are called.
 *
 * <p>Implementations are thread safe.
 */
public interface FleetServices {
    /** Validates a traffic configuration and has it accepted. */
    CompletionStage<FleetAdministration.Outcome> replaceTraffic(byte[] document);

    /** Returns the newest accepted traffic configuration, or empty if no leader could confirm it. */
    CompletionStage<Optional<TrafficDocument>> readTraffic();

    /** Starts or ends the evacuation of a zone, if the operator still waits for the outcome. */
    CompletionStage<FleetAdministration.Outcome> setEvacuation(String zone, boolean active, CallerPresence operator);

    /** Handles an announcement of an endpoint; completes with whether it is acknowledged. */
    CompletionStage<Boolean> announce(EndpointRecord record, CallerPresence caller);

    /** Handles the leave of an endpoint; completes with whether it is acknowledged. */
    CompletionStage<Boolean> leave(EndpointLeave leave);

    /** Returns the addresses of the entry instances that a caller in this zone and region should use. */
    List<Address> entriesFor(String zone, String region);

    /** Returns the time for which a look-up response may be cached, in seconds. */
    double lookupValidSeconds();
}
