package org.bulrushwheel.server.gateway;

import java.util.Optional;
import java.util.OptionalLong;

import io.undertow.client.ClientResponse;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import org.bulrushwheel.logic.retry.RetryAfter;
import org.bulrushwheel.model.refusal.RunState;
import org.bulrushwheel.server.HttpAnswers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads what an endpoint says in the head of a response: that it leaves, wants a pause, or has not run the request.
 *
 * <p>Stateless and thread safe.
 */
final class EndpointSignals {
    private static final Logger LOGGER = LoggerFactory.getLogger(EndpointSignals.class);

    private EndpointSignals() {}

    /** Whether an endpoint says that it has not run the request. */
    static boolean isNotRun(ClientResponse response) {
        String runState = response.getResponseHeaders().getFirst(HttpAnswers.RUN_STATE_HEADER);
        return RunState.NOT_RUN.headerValue().equals(runState);
    }

    /** Passes on what a response says about the endpoint of a lease. */
    static void read(SlotLease lease, ClientResponse response, GatewayServices services) {
        if (response.getResponseHeaders().contains(GatewayHeaders.LEAVING)) {
            lease.endpointLeaves();
            services.connections().retire(lease.upstream().address());
        }
        Optional<String> retryAfter = response.getResponseCode() == StatusCodes.SERVICE_UNAVAILABLE
                ? Optional.ofNullable(response.getResponseHeaders().getFirst(Headers.RETRY_AFTER))
                : Optional.empty();
        retryAfter.ifPresent(value -> {
            OptionalLong pauseMillis = RetryAfter.parseMillis(value);
            if (pauseMillis.isPresent()) {
                lease.endpointPauses(pauseMillis.getAsLong());
            } else {
                services.metrics().counter("gateway.pauses.unreadable").inc();
                LOGGER.debug(
                        "unreadable Retry-After endpoint={} value={}",
                        lease.upstream().id(),
                        value);
            }
        });
    }
}
