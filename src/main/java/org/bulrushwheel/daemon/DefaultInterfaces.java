package org.bulrushwheel.daemon;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.bulrushwheel.logic.fleet.EndpointRecordChecker;
import org.bulrushwheel.logic.fleet.JsonTrafficCodec;
import org.bulrushwheel.model.instance.Address;
import org.bulrushwheel.model.proto.EndpointLeave;
import org.bulrushwheel.model.proto.EndpointRecord;
import org.bulrushwheel.model.proto.EndpointRecord.State;
import org.bulrushwheel.model.traffic.Announcement;
import org.bulrushwheel.model.traffic.TrafficDocumentCodec;
import org.bulrushwheel.server.api.ApiCall;
import org.bulrushwheel.server.api.ApiHandler;
import org.bulrushwheel.server.api.ApiReply;
import org.bulrushwheel.server.edge.EdgeHeaders;
import org.bulrushwheel.server.fleet.FleetAdministration.Outcome;
import org.bulrushwheel.server.fleet.FleetServices;

/**
 * The project's own HTTP interfaces of a deployment whose instances find each other through seeds.
 *
 * <p>Stateless and thread safe.
 */
public final class DefaultInterfaces implements FleetInterfaces {
    /** Path of readiness checks. */
    public static final String READY = "/v1/ready";

    /** Path of look-ups. */
    public static final String ENTRIES = "/v1/entries";

    /** Path of the traffic configuration. */
    public static final String TRAFFIC = "/v1/traffic";

    /** Path prefix of endpoint announcements; the id of the endpoint follows. */
    public static final String ENDPOINTS = "/v1/endpoints/";

    /** Path prefix of zone evacuations; the zone follows. */
    public static final String EVACUATIONS = "/v1/evacuations/";

    private static final ObjectMapper JSON = new ObjectMapper();

    @Override
    public EdgeHeaders headers() {
        return EdgeHeaders.DEFAULT;
    }

    @Override
    public TrafficDocumentCodec trafficCodec() {
        return new JsonTrafficCodec();
    }

    @Override
    public ApiHandler readiness(BooleanSupplier ready) {
        return call -> done(
                call.path().equals(READY) ? ApiReply.empty(ready.getAsBoolean() ? 200 : 503) : ApiReply.empty(404));
    }

    @Override
    public ApiHandler control(FleetServices services) {
        return call -> {
            String target = call.method() + " " + call.path();
            if (target.equals("PUT " + TRAFFIC)) {
                return services.replaceTraffic(call.body()).thenApply(DefaultInterfaces::toReply);
            }
            if (target.equals("GET " + TRAFFIC)) {
                return services.readTraffic().thenApply(latest -> latest.filter(document -> document.getVersion() > 0)
                        .map(document ->
                                ApiReply.json(200, document.getDocument().toString(StandardCharsets.UTF_8)))
                        .orElseGet(() -> ApiReply.empty(503)));
            }
            if (call.path().startsWith(EVACUATIONS) && (isPut(call) || isDelete(call))) {
                return services.setEvacuation(call.path().substring(EVACUATIONS.length()), isPut(call), call.caller())
                        .thenApply(DefaultInterfaces::toReply);
            }
            if (call.path().startsWith(ENDPOINTS) && (isPut(call) || isDelete(call))) {
                return endpoint(services, call);
            }
            boolean known = call.path().equals(TRAFFIC)
                    || call.path().startsWith(EVACUATIONS)
                    || call.path().startsWith(ENDPOINTS);
            return done(
                    known
                            ? ApiReply.text(405, "the method is not supported here; use PUT, or GET or DELETE\n")
                            : ApiReply.empty(404));
        };
    }

    private static boolean isPut(ApiCall call) {
        return call.method().equals("PUT");
    }

    private static boolean isDelete(ApiCall call) {
        return call.method().equals("DELETE");
    }

    @Override
    public ApiHandler lookup(FleetServices services) {
        return call -> done(call.path().equals(ENTRIES) ? entries(services, call) : ApiReply.empty(404));
    }

    private static CompletionStage<ApiReply> endpoint(FleetServices services, ApiCall call) {
        String id = call.path().substring(ENDPOINTS.length());
        try {
            if (isDelete(call)) {
                return services.leave(toLeave(id, call)).thenApply(DefaultInterfaces::acknowledged);
            }
            return services.announce(
                            toEndpointRecord(id, JSON.readValue(call.body(), Announcement.class)), call.caller())
                    .thenApply(DefaultInterfaces::acknowledged);
        } catch (IOException | IllegalArgumentException e) {
            return done(ApiReply.text(400, "cannot read the announcement: " + e.getMessage() + "\n"));
        }
    }

    private static EndpointLeave toLeave(String id, ApiCall call) {
        EndpointLeave.Builder leave = EndpointLeave.newBuilder().setId(id);
        call.parameter("bornEpochMillis").map(Long::parseLong).ifPresent(leave::setBornEpochMillis);
        return leave.build();
    }

    private static EndpointRecord toEndpointRecord(String id, Announcement announcement) {
        if (id.isEmpty()
                || announcement.service() == null
                || announcement.address() == null
                || announcement.zone() == null) {
            throw new IllegalArgumentException("an id, a service, an address and a zone are required");
        }
        EndpointRecord record = EndpointRecord.newBuilder()
                .setId(id)
                .setBornEpochMillis(announcement.bornEpochMillis())
                .setService(announcement.service())
                .setAddress(announcement.address())
                .setZone(announcement.zone())
                .setSlots(announcement.slots())
                .setState(announcement.draining() ? State.DRAINING : State.READY)
                .setSequence(announcement.sequence())
                .setColdRemainingMillis(announcement.coldRemainingMillis())
                .build();
        EndpointRecordChecker.fault(record).ifPresent(fault -> {
            throw new IllegalArgumentException(fault);
        });
        return record;
    }

    private static ApiReply entries(FleetServices services, ApiCall call) {
        List<String> entries =
                services
                        .entriesFor(
                                call.parameter("zone").orElse(""),
                                call.parameter("region").orElse(""))
                        .stream()
                        .map(Address::toString)
                        .toList();
        try {
            return ApiReply.json(
                    entries.isEmpty() ? 503 : 200,
                    JSON.writeValueAsString(Map.of("entries", entries, "validSeconds", services.lookupValidSeconds())));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write a list of strings as JSON", e);
        }
    }

    private static ApiReply acknowledged(boolean success) {
        return ApiReply.empty(success ? 200 : 503);
    }

    private static ApiReply toReply(Outcome outcome) {
        return ApiReply.empty(
                switch (outcome) {
                    case ACCEPTED -> 200;
                    case INVALID -> 400;
                    case UNKNOWN -> 503;
                });
    }

    private static CompletionStage<ApiReply> done(ApiReply reply) {
        return CompletableFuture.completedFuture(reply);
    }
}
