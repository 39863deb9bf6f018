package org.bulrushwheel.server.upstreams;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;
import org.bulrushwheel.logic.fleet.EndpointRecordChecker;
import org.bulrushwheel.logic.settings.RecordShape;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.instance.Address;
import org.bulrushwheel.model.refusal.Refusal;
import org.bulrushwheel.model.refusal.RefusalReason;
import org.bulrushwheel.model.upstream.Upstream;
import org.bulrushwheel.server.HttpAnswers;

/**
 * Endpoint announcements over HTTP: {@code PUT /v1/upstreams/SERVICE/ENDPOINT} announces an endpoint until the
 * announcement expires, {@code DELETE} announces that it leaves.
 *
 * <p>Thread safe.
 */
public final class UpstreamHandler implements HttpHandler {
    /** Path prefix of announcements. */
    public static final String PREFIX = "/v1/upstreams";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_BODY_BYTES = 4 * 1024;
    private static final long MAX_VALIDITY_MILLIS = 60_000;

    private static final String NO_ADDRESS = "0.0.0.0:0";

    private final UpstreamService upstreams;
    private final TimeSource time;
    private final HttpAnswers answers;

    /** Creates a handler that passes announcements to the service. */
    public UpstreamHandler(UpstreamService upstreams, TimeSource time, HttpAnswers answers) {
        this.upstreams = upstreams;
        this.time = time;
        this.answers = answers;
    }

    /**
     * Body of an announcement.
     *
     * @param zone availability zone of the endpoint
     * @param address listen address as IP:PORT
     * @param slots maximum number of concurrent requests
     * @param validForMillis time until the announcement expires
     * @param servingForMillis time for which the endpoint has been serving
     * @param sequence number that increases with each announcement and leave of the endpoint, like its own clock
     * @param reportedLoadPercent load in percent of its slots
     */
    public record Announcement(
            String zone,
            String address,
            int slots,
            long validForMillis,
            long servingForMillis,
            long sequence,
            int reportedLoadPercent) {}

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        String[] segments = exchange.getRelativePath().split("/");
        if (segments.length != 3 || segments[1].isBlank() || segments[2].isBlank()) {
            refuse(exchange, "the path must be " + PREFIX + "/SERVICE/ENDPOINT");
        } else if (exchange.getRequestMethod().equals(Methods.PUT)) {
            exchange.getRequestReceiver().setMaxBufferSize(MAX_BODY_BYTES);
            exchange.getRequestReceiver()
                    .receiveFullBytes(
                            (received, body) -> announce(received, segments[1], segments[2], body),
                            (failed, error) -> refuse(failed, "the body is incomplete or too large"));
        } else if (exchange.getRequestMethod().equals(Methods.DELETE)) {
            leave(exchange, segments[1], segments[2]);
        } else {
            refuse(exchange, "the method must be PUT or DELETE");
        }
    }

    private void announce(HttpServerExchange exchange, String service, String endpoint, byte[] body) {
        try {
            JsonNode tree = JSON.readTree(body);
            List<String> faults = RecordShape.faults(tree, Announcement.class);
            if (!faults.isEmpty()) {
                refuse(exchange, String.join("; ", faults));
                return;
            }
            announce(exchange, service, endpoint, JSON.treeToValue(tree, Announcement.class));
        } catch (JsonProcessingException | RuntimeException e) {
            refuse(exchange, "the body is not a valid announcement: " + e.getMessage());
        } catch (java.io.IOException e) {
            refuse(exchange, "the body cannot be read");
        }
    }

    private void announce(HttpServerExchange exchange, String service, String endpoint, Announcement announcement) {
        Address.parse(announcement.address());
        if (announcement.slots() <= 0 || announcement.slots() > EndpointRecordChecker.MAX_SLOTS) {
            refuse(exchange, "slots must be from 1 to " + EndpointRecordChecker.MAX_SLOTS);
            return;
        }
        long now = time.epochMillis();
        long validForMillis = Math.min(Math.max(announcement.validForMillis(), 1), MAX_VALIDITY_MILLIS);
        upstreams.announce(new Upstream(
                service,
                endpoint,
                announcement.zone(),
                announcement.address(),
                announcement.slots(),
                announcement.sequence(),
                now + validForMillis,
                false,
                now - announcement.servingForMillis(),
                announcement.reportedLoadPercent() / 100.0));
        answers.json(exchange, 200, Map.of("expiresAtEpochMillis", now + validForMillis));
    }

    private void leave(HttpServerExchange exchange, String service, String endpoint) {
        Optional<String> zone = parameter(exchange, "zone");
        Optional<Long> sequence = parameter(exchange, "sequence")
                .filter(text -> text.matches("[0-9]{1,18}"))
                .map(Long::valueOf);
        if (zone.isEmpty() || sequence.isEmpty()) {
            refuse(exchange, "the query must be ?zone=ZONE&sequence=NUMBER");
            return;
        }
        long now = time.epochMillis();
        upstreams.announce(new Upstream(
                service, endpoint, zone.get(), NO_ADDRESS, 1, sequence.get(), now + MAX_VALIDITY_MILLIS, true, now, 0));
        answers.json(exchange, 200, Map.of("leaving", true));
    }

    private static Optional<String> parameter(HttpServerExchange exchange, String name) {
        return Optional.ofNullable(exchange.getQueryParameters().get(name)).map(values -> values.getFirst());
    }

    private void refuse(HttpServerExchange exchange, String detail) {
        answers.refuse(exchange, Refusal.notRun(RefusalReason.MALFORMED_REQUEST, detail));
    }
}
