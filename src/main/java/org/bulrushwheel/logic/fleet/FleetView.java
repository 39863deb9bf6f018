package org.bulrushwheel.logic.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.google.protobuf.ByteString;
import org.bulrushwheel.model.proto.EndpointRecord;
import org.bulrushwheel.model.proto.FleetUpdate;
import org.bulrushwheel.model.proto.TrafficDocument;
import org.bulrushwheel.model.proto.ZoneEvacuation;
import org.bulrushwheel.model.traffic.Endpoint;
import org.bulrushwheel.model.traffic.ServicePolicy;
import org.bulrushwheel.model.traffic.TrafficConfiguration;
import org.bulrushwheel.model.traffic.TrafficDocumentCodec;

/**
 * An entry instance's view of the fleet at one revision.
 *
 * <p>Invariant: a view is only replaced by one of a higher revision, so a change in force is never undone by an older
 * update; it contains no record that cannot be used. Immutable and thread safe.
 */
public final class FleetView {
    private final long revision;
    private final Optional<TrafficConfiguration> traffic;
    private final ByteString trafficDocument;
    private final Optional<RouteTable> routes;
    private final Map<String, Endpoint> endpoints;
    private final Set<String> evacuatedZones;
    private final Map<String, List<Endpoint>> usableByService;
    private final Map<String, ServicePolicy> policies;
    private final int entryInstances;

    private FleetView(
            long revision,
            Optional<TrafficConfiguration> traffic,
            ByteString trafficDocument,
            Optional<RouteTable> routes,
            Map<String, Endpoint> endpoints,
            Set<String> evacuatedZones,
            int entryInstances) {
        this.revision = revision;
        this.traffic = traffic;
        this.trafficDocument = trafficDocument;
        this.routes = routes;
        this.endpoints = endpoints;
        this.evacuatedZones = evacuatedZones;
        this.entryInstances = entryInstances;
        this.usableByService = new HashMap<>();
        this.policies = new HashMap<>();
        endpoints.values().stream()
                .filter(endpoint -> !evacuatedZones.contains(endpoint.zone()))
                .sorted(java.util.Comparator.comparing(Endpoint::id))
                .forEach(endpoint -> usableByService
                        .computeIfAbsent(endpoint.service(), service -> new ArrayList<>())
                        .add(endpoint));
        traffic.ifPresent(
                configuration -> configuration.services().forEach(policy -> policies.put(policy.name(), policy)));
    }

    /** The view of an instance that has not received any update. */
    public static FleetView empty() {
        return new FleetView(0, Optional.empty(), ByteString.EMPTY, Optional.empty(), Map.of(), Set.of(), 1);
    }

    /**
     * Returns the view after an update, or this view when the update is outdated, leaves a gap in the revisions or is
     * the difference from another traffic document.
     *
     * @param update changes from a control instance
     * @param codec parser of the traffic configuration
     * @param regionsByZone regions of the zones
     * @param nowMillis monotonic time at which the update arrived
     */
    public FleetView withUpdate(
            FleetUpdate update, TrafficDocumentCodec codec, Map<String, String> regionsByZone, long nowMillis) {
        boolean changes = update.getRevision() > revision && update.getFromRevision() <= revision;
        int nextEntryInstances = Math.max(1, update.getEntryInstances());
        if (!changes) {
            return nextEntryInstances == entryInstances
                    ? this
                    : new FleetView(
                            revision, traffic, trafficDocument, routes, endpoints, evacuatedZones, nextEntryInstances);
        }
        boolean hasNewerTraffic = update.getHasTraffic() && update.getTraffic().getVersion() > trafficVersion();
        Optional<ByteString> document =
                hasNewerTraffic ? documentOf(update.getTraffic()) : Optional.of(trafficDocument);
        if (document.isEmpty()) {
            return this;
        }
        boolean isFullUpdate = update.getFromRevision() == 0;
        Optional<TrafficConfiguration> nextTraffic =
                hasNewerTraffic ? Optional.of(parse(document.get(), codec)) : traffic;
        Optional<RouteTable> nextRoutes = hasNewerTraffic ? nextTraffic.map(RouteTable::new) : routes;
        Map<String, Endpoint> nextEndpoints = new HashMap<>(isFullUpdate ? Map.of() : endpoints);
        for (EndpointRecord record : update.getEndpointsList()) {
            boolean isUsable = record.getState() == EndpointRecord.State.READY
                    && EndpointRecordChecker.fault(record).isEmpty();
            if (isUsable) {
                nextEndpoints.put(record.getId(), endpointOf(record, regionsByZone, nowMillis));
            } else {
                nextEndpoints.remove(record.getId());
            }
        }
        Set<String> nextEvacuated = new HashSet<>(isFullUpdate ? Set.of() : evacuatedZones);
        Set<String> restoredZones = new HashSet<>();
        for (ZoneEvacuation evacuation : update.getEvacuationsList()) {
            if (evacuation.getActive()) {
                nextEvacuated.add(evacuation.getZone());
            } else if (nextEvacuated.remove(evacuation.getZone()) && !isFullUpdate) {
                restoredZones.add(evacuation.getZone());
            }
        }
        markCold(nextEndpoints, restoredZones, nextTraffic, nowMillis);
        return new FleetView(
                update.getRevision(),
                nextTraffic,
                document.get(),
                nextRoutes,
                nextEndpoints,
                nextEvacuated,
                nextEntryInstances);
    }

    public long revision() {
        return revision;
    }

    /** Returns the version of the traffic configuration in force, 0 if there is none. */
    public long trafficVersion() {
        return traffic.map(TrafficConfiguration::version).orElse(0L);
    }

    public Optional<TrafficConfiguration> traffic() {
        return traffic;
    }

    public Optional<RouteTable> routes() {
        return routes;
    }

    /** Returns the endpoints of a service outside evacuated zones, in the same order on all instances. */
    public List<Endpoint> usable(String service) {
        return usableByService.getOrDefault(service, List.of());
    }

    /** Whether this incarnation of an endpoint may still receive requests. */
    public boolean isUsable(Endpoint endpoint) {
        return endpoint(endpoint.id())
                .filter(current -> current.bornEpochMillis() == endpoint.bornEpochMillis()
                        && current.address().equals(endpoint.address())
                        && !evacuatedZones.contains(current.zone()))
                .isPresent();
    }

    /** Returns the endpoint that has this id now; empty if it is not known or has ended. */
    public Optional<Endpoint> endpoint(String id) {
        return Optional.ofNullable(endpoints.get(id));
    }

    public Optional<ServicePolicy> policy(String service) {
        return Optional.ofNullable(policies.get(service));
    }

    /** Returns the number of endpoints that are known and have not ended. */
    public int endpointCount() {
        return endpoints.size();
    }

    /** Returns the number of serving entry instances, including this one. */
    public int entryInstances() {
        return entryInstances;
    }

    public Set<String> evacuatedZones() {
        return evacuatedZones;
    }

    private Optional<ByteString> documentOf(TrafficDocument update) {
        return update.hasDelta()
                ? DocumentDeltas.apply(trafficVersion(), trafficDocument, update.getDelta())
                : Optional.of(update.getDocument());
    }

    private static TrafficConfiguration parse(ByteString document, TrafficDocumentCodec codec) {
        return codec.read(document.toByteArray())
                .getOrElseThrow(faults -> new IllegalStateException("the accepted traffic configuration can't be read: "
                        + faults + "; run the release that accepted it"));
    }

    private static Endpoint endpointOf(EndpointRecord record, Map<String, String> regionsByZone, long nowMillis) {
        return new Endpoint(
                record.getId(),
                record.getBornEpochMillis(),
                record.getService(),
                record.getAddress(),
                record.getZone(),
                regionsByZone.getOrDefault(record.getZone(), ""),
                Math.max(1, record.getSlots()),
                nowMillis + record.getColdRemainingMillis());
    }

    /** Marks endpoints of zones whose evacuation has ended as cold: they may have cooled down without announcing it. */
    private static void markCold(
            Map<String, Endpoint> endpoints,
            Set<String> restoredZones,
            Optional<TrafficConfiguration> traffic,
            long nowMillis) {
        if (restoredZones.isEmpty() || traffic.isEmpty()) {
            return;
        }
        Map<String, Long> coldMillis = new HashMap<>();
        traffic.get().services().forEach(policy -> coldMillis.put(policy.name(), policy.coldStartMillis()));
        endpoints.replaceAll((id, endpoint) -> restoredZones.contains(endpoint.zone())
                ? new Endpoint(
                        id,
                        endpoint.bornEpochMillis(),
                        endpoint.service(),
                        endpoint.address(),
                        endpoint.zone(),
                        endpoint.region(),
                        endpoint.slots(),
                        nowMillis + coldMillis.getOrDefault(endpoint.service(), 0L))
                : endpoint);
    }
}
