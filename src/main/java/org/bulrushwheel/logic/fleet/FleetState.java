package org.bulrushwheel.logic.fleet;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.protobuf.ByteString;
import org.bulrushwheel.model.proto.CommandResult;
import org.bulrushwheel.model.proto.EndpointLeave;
import org.bulrushwheel.model.proto.EndpointRecord;
import org.bulrushwheel.model.proto.FleetSnapshot;
import org.bulrushwheel.model.proto.FleetUpdate;
import org.bulrushwheel.model.proto.PutEndpoints;
import org.bulrushwheel.model.proto.ReplaceTraffic;
import org.bulrushwheel.model.proto.SetEvacuation;
import org.bulrushwheel.model.proto.TrafficDocument;
import org.bulrushwheel.model.proto.ZoneEvacuation;

/**
 * Replicated state of the fleet: the traffic configuration with the highest version, zone evacuations and endpoints.
 *
 * <p>Invariants: every change increases the revision, so replicas at the same revision have the same state; the version
 * of the traffic configuration never decreases, and the content of a version never changes. Not thread safe: a single
 * thread applies commands and reads.
 */
public final class FleetState {
    // Ended endpoints are retained so that late heartbeats don't revive them.
    private static final int MAX_ENDED_ENDPOINTS = 1_000;

    private final Map<String, ZoneEvacuation> evacuations = new LinkedHashMap<>();
    private final Map<String, EndpointRecord> endpoints = new LinkedHashMap<>();
    private TrafficDocument traffic = TrafficDocument.getDefaultInstance();
    private long revision;
    private long forgottenRevision;

    /**
     * Replaces the traffic configuration if the new version is higher; otherwise does nothing. The result is
     * BASE_CHANGED if the change is the difference from another document than the one in force.
     */
    public CommandResult replaceTraffic(ReplaceTraffic change) {
        if (change.getVersion() <= traffic.getVersion()) {
            return done();
        }
        Optional<ByteString> document = documentOf(change);
        if (document.isEmpty()) {
            return baseChanged();
        }
        traffic = TrafficDocument.newBuilder()
                .setVersion(change.getVersion())
                .setDocument(document.get())
                .setRevision(++revision)
                .build();
        return done();
    }

    private Optional<ByteString> documentOf(ReplaceTraffic change) {
        return change.hasDelta()
                ? DocumentDeltas.apply(traffic.getVersion(), traffic.getDocument(), change.getDelta())
                : Optional.of(change.getDocument());
    }

    /**
     * Starts or ends the evacuation of a zone. The result is BASE_CHANGED if that would undo a change made after the
     * revision that the command is based on.
     */
    public CommandResult setEvacuation(SetEvacuation change) {
        ZoneEvacuation current = evacuation(change.getZone());
        if (current.getActive() == change.getActive()) {
            return done();
        }
        if (change.hasBaseRevision() && change.getBaseRevision() != current.getRevision()) {
            return baseChanged();
        }
        evacuations.put(
                change.getZone(),
                current.toBuilder()
                        .setActive(change.getActive())
                        .setRevision(++revision)
                        .build());
        return done();
    }

    /** Returns the evacuation of a zone; its revision is 0 if there was none yet. */
    public ZoneEvacuation evacuation(String zone) {
        return evacuations.getOrDefault(
                zone, ZoneEvacuation.newBuilder().setZone(zone).build());
    }

    /** Returns the evacuations of all zones that were ever evacuated. */
    public List<ZoneEvacuation> evacuations() {
        return List.copyOf(evacuations.values());
    }

    /** Applies announcements and leaves of endpoints; outdated ones are ignored. */
    public CommandResult putEndpoints(PutEndpoints change) {
        for (EndpointRecord record : change.getEndpointsList()) {
            EndpointRecords.supersede(endpoints.values(), record).forEach(this::put);
            if (EndpointRecords.isNewer(record, Optional.ofNullable(endpoints.get(record.getId())))) {
                put(record);
            }
        }
        change.getLeavesList().forEach(this::leave);
        evictEnded();
        return done();
    }

    /** Returns the traffic configuration; its version is 0 until the first one is accepted. */
    public TrafficDocument traffic() {
        return traffic;
    }

    /** Returns the revision of the last change. */
    public long revision() {
        return revision;
    }

    /** Returns an endpoint, including ended ones. */
    public Optional<EndpointRecord> endpoint(String id) {
        return Optional.ofNullable(endpoints.get(id));
    }

    /** Returns all endpoints, including ended ones. */
    public List<EndpointRecord> endpoints() {
        return List.copyOf(endpoints.values());
    }

    /**
     * Returns the changes since a revision. Returns the whole state when that revision is unknown here, or so old that
     * ended endpoints have been evicted since.
     */
    public FleetUpdate changesSince(long haveRevision) {
        boolean incremental = haveRevision >= forgottenRevision && haveRevision <= revision;
        long from = incremental ? haveRevision : 0;
        FleetUpdate.Builder update =
                FleetUpdate.newBuilder().setFromRevision(from).setRevision(revision);
        if (traffic.getRevision() > from) {
            update.setHasTraffic(true).setTraffic(traffic);
        }
        evacuations.values().stream()
                .filter(evacuation -> evacuation.getRevision() > from)
                .forEach(update::addEvacuations);
        endpoints.values().stream()
                .filter(endpoint -> endpoint.getRevision() > from)
                .forEach(update::addEndpoints);
        return update.build();
    }

    /** Returns a snapshot of the whole state. */
    public FleetSnapshot snapshot() {
        return FleetSnapshot.newBuilder()
                .setRevision(revision)
                .setTraffic(traffic)
                .addAllEvacuations(evacuations.values())
                .addAllEndpoints(endpoints.values())
                .setForgottenRevision(forgottenRevision)
                .build();
    }

    /** Replaces the whole state with a snapshot. */
    public void restore(FleetSnapshot snapshot) {
        revision = snapshot.getRevision();
        traffic = snapshot.getTraffic();
        forgottenRevision = snapshot.getForgottenRevision();
        evacuations.clear();
        snapshot.getEvacuationsList().forEach(evacuation -> evacuations.put(evacuation.getZone(), evacuation));
        endpoints.clear();
        snapshot.getEndpointsList().forEach(endpoint -> endpoints.put(endpoint.getId(), endpoint));
    }

    private void leave(EndpointLeave leave) {
        EndpointRecord current = endpoints.get(leave.getId());
        if (current == null) {
            rememberLeave(leave);
        } else if (EndpointRecords.isOf(leave, current) && !EndpointRecords.isRecorded(leave, current)) {
            put(EndpointRecords.left(leave, current));
        }
    }

    /** Its announcement may still be on its way. */
    private void rememberLeave(EndpointLeave leave) {
        if (leave.getBornEpochMillis() > 0) {
            put(EndpointRecords.left(
                    leave, EndpointRecord.newBuilder().setId(leave.getId()).build()));
        }
    }

    private void put(EndpointRecord record) {
        // Reinserted at the end, so that iteration follows the order of changes.
        endpoints.remove(record.getId());
        endpoints.put(record.getId(), record.toBuilder().setRevision(++revision).build());
    }

    private void evictEnded() {
        List<EndpointRecord> ended =
                endpoints.values().stream().filter(EndpointRecords::isEnded).toList();
        for (int index = 0; index < ended.size() - MAX_ENDED_ENDPOINTS; index++) {
            endpoints.remove(ended.get(index).getId());
            forgottenRevision = Math.max(forgottenRevision, ended.get(index).getRevision());
        }
    }

    private CommandResult done() {
        return result(CommandResult.Kind.DONE);
    }

    private CommandResult baseChanged() {
        return result(CommandResult.Kind.BASE_CHANGED);
    }

    private CommandResult result(CommandResult.Kind kind) {
        return CommandResult.newBuilder()
                .setKind(kind)
                .setVersion(traffic.getVersion())
                .build();
    }
}
