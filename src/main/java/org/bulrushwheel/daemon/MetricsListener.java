package org.bulrushwheel.daemon;

import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import org.bulrushwheel.kernel.Kernel;
import org.bulrushwheel.model.instance.Address;
import org.bulrushwheel.model.settings.FleetSettings;
import org.bulrushwheel.server.api.ApiCapacity;
import org.bulrushwheel.server.api.ApiReply;
import org.bulrushwheel.server.api.ApiServer;
import org.bulrushwheel.server.status.MetricsPages;

/**
 * HTTP listener that serves the metrics of a process to scrapers.
 *
 * <p>Stateless and thread safe.
 */
final class MetricsListener {
    /** Path of the metrics page. */
    static final String METRICS = "/metrics";

    private MetricsListener() {}

    /** Registers the listener if the settings contain a metrics address. */
    static void register(
            Kernel kernel, FleetSettings settings, EventLoopGroup loops, ApiCapacity capacity, MetricRegistry metrics) {
        String address = settings.metricsAddress();
        if (address == null) {
            return;
        }
        MetricsPages pages = new MetricsPages(metrics);
        kernel.register(new ApiServer(
                "metrics-api",
                Address.parse(address),
                loops,
                call -> CompletableFuture.completedFuture(
                        call.path().equals(METRICS) ? ApiReply.text(200, pages.text()) : ApiReply.empty(404)),
                capacity,
                ApiServer.MAX_SMALL_BODY_BYTES,
                metrics));
    }
}
