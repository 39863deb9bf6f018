package org.bulrushwheel.daemon;

import java.util.function.BooleanSupplier;

import org.bulrushwheel.model.traffic.TrafficDocumentCodec;
import org.bulrushwheel.server.api.ApiHandler;
import org.bulrushwheel.server.edge.EdgeHeaders;
import org.bulrushwheel.server.fleet.FleetServices;

/**
 * The HTTP interfaces of a deployment to callers, endpoints and operators. Implementations only translate between
 * requests and services; they make no decisions of their own.
 *
 * <p>Implementations are stateless and thread safe.
 */
public interface FleetInterfaces {
    /** Returns the names of the headers that callers and entry instances exchange. */
    EdgeHeaders headers();

    /** Returns the codec of the traffic configuration. */
    TrafficDocumentCodec trafficCodec();

    /** Returns the handler of readiness checks on an entry instance. */
    ApiHandler readiness(BooleanSupplier ready);

    /** Returns the handler of requests from operators and endpoints. */
    ApiHandler control(FleetServices services);

    /** Returns the handler of look-ups. */
    ApiHandler lookup(FleetServices services);
}
