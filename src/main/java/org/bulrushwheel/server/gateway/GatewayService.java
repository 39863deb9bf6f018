package org.bulrushwheel.server.gateway;

import com.codahale.metrics.MetricRegistry;
import org.bulrushwheel.kernel.KernelService;
import org.bulrushwheel.kernel.ServiceTimer;

/**
 * The gateway as a service: looks after its connections between requests.
 *
 * <p>Thread safe.
 */
public final class GatewayService implements KernelService {
    /** Name in the kernel. */
    public static final String NAME = "gateway";

    private static final long CLEAN_MILLIS = 5_000;

    private final GatewayHandler handler;
    private final ServiceTimer timer;

    /** A service around a handler. */
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
        timer.every(CLEAN_MILLIS, handler::closeExpiredConnections);
    }

    @Override
    public void stop() {
        timer.close();
    }

    /** Returns the handler of requests. */
    public GatewayHandler handler() {
        return handler;
    }
}
