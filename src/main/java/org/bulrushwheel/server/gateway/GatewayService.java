package org.bulrushwheel.server.gateway;

import com.codahale.metrics.MetricRegistry;
import org.bulrushwheel.kernel.KernelService;
import org.bulrushwheel.kernel.ServiceTimer;

/**
 * Kernel service of the gateway: periodically closes expired connections to endpoints.
 *
 * <p>Thread safe.
 */
public final class GatewayService implements KernelService {
    /** Service name in the kernel. */
    public static final String NAME = "gateway";

    private static final long CLEANUP_INTERVAL_MILLIS = 5_000;

    private final GatewayHandler handler;
    private final ServiceTimer timer;

    /** Creates a service for a handler. */
    public GatewayService(GatewayHandler handler, MetricRegistry metrics) {
        this.handler = handler;
        this.timer = new ServiceTimer(NAME, metrics);
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        timer.every(CLEANUP_INTERVAL_MILLIS, handler::closeExpiredConnections);
    }

    @Override
    public void stop() {
        timer.close();
    }

    /** Returns the HTTP handler of the gateway. */
    public GatewayHandler handler() {
        return handler;
    }
}
