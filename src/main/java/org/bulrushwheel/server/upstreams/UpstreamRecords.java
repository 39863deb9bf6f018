package org.bulrushwheel.server.upstreams;

import org.bulrushwheel.model.proto.UpstreamRecord;
import org.bulrushwheel.model.upstream.Upstream;

/**
 * Converts endpoints between the model and protobuf records. Records carry remaining times instead of timestamps, so
 * that clocks of instances may differ.
 *
 * <p>Stateless and thread safe.
 */
final class UpstreamRecords {
    private UpstreamRecords() {}

    static UpstreamRecord toRecord(Upstream upstream, long nowEpochMillis) {
        return UpstreamRecord.newBuilder()
                .setService(upstream.service())
                .setEndpoint(upstream.endpoint())
                .setZone(upstream.zone())
                .setAddress(upstream.address())
                .setSlots(upstream.slots())
                .setSequence(upstream.sequence())
                .setValidForMillis(upstream.expiresAtEpochMillis() - nowEpochMillis)
                .setLeaving(upstream.leaving())
                .setServingForMillis(nowEpochMillis - upstream.startedAtEpochMillis())
                .setReportedLoad(upstream.reportedLoad())
                .build();
    }

    static Upstream toUpstream(UpstreamRecord record, long nowEpochMillis) {
        return new Upstream(
                record.getService(),
                record.getEndpoint(),
                record.getZone(),
                record.getAddress(),
                record.getSlots(),
                record.getSequence(),
                nowEpochMillis + record.getValidForMillis(),
                record.getLeaving(),
                nowEpochMillis - record.getServingForMillis(),
                record.getReportedLoad());
    }
}
