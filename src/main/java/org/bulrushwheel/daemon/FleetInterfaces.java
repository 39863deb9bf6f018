package org.bulrushwheel.daemon;

import java.util.function.BooleanSupplier;

import org.bulrushwheel.model.traffic.TrafficDocumentCodec;
import org.bulrushwheel.server.api.ApiHandler;
import org.bulrushwheel.server.edge.EdgeHeaders;
import org.bulrushwheel.server.fleet.FleetServices;

/**
 * How a deployment speaks to callers, endpoints and operators. Implementations translate and decide nothing.
 *
 * <p>Implementations are stateless and thread safe.
 */
public interface FleetInterfaces {
    /** Returns the names of the headers on requests. */
    EdgeHeaders headers();

    /** Returns the form of the traffic configuration. */
    TrafficDocumentCodec trafficCodec();

    /** Returns the interface for readiness checks of an entry instance. */
    ApiHandler readiness(BooleanSupplier ready);

    /** Returns the interface for operators and endpoints. */
    ApiHandler control(FleetServices services);

    /** Returns the interface for look-ups. */
    ApiHandler lookup(FleetServices services);
}
