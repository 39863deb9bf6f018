package org.bulrushwheel.daemon;

import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import org.bulrushwheel.kernel.Kernel;
import org.bulrushwheel.model.instance.Address;
import org.bulrushwheel.model.settings.FleetSettings;
import org.bulrushwheel.server.api.ApiReply;
import org.bulrushwheel.server.api.ApiServer;
import org.bulrushwheel.server.status.MetricsPages;

/**
 * The page with a process's metrics, for scrapers.
 *
 * <p>Stateless and thread safe.
 */
final class MetricsListener {
    /** Path of the page. */
    static final String METRICS = "/metrics";

    private MetricsListener() {}

    /** Serves the page where the settings say so. */
    static void register(Kernel kernel, FleetSettings settings, EventLoopGroup loops, MetricRegistry metrics) {
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
                metrics));
    }
}
