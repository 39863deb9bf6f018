package org.bulrushwheel.logic.upstream;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.bulrushwheel.model.upstream.Upstream;

/**
 * Known endpoints by id. Merging is commutative and idempotent, so announcements may arrive in any order and repeatedly.
 *
 * <p>Immutable and thread safe.
 */
public final class UpstreamDirectory {
    /** A directory without endpoints. */
    public static final UpstreamDirectory EMPTY = new UpstreamDirectory(Map.of());

    /** Retention of leaves and expired announcements, so that older announcements cannot revive an endpoint. */
    public static final long FORGET_AFTER_MILLIS = 60_000;

    private final Map<String, Upstream> upstreamsById;

    private UpstreamDirectory(Map<String, Upstream> upstreamsById) {
        this.upstreamsById = upstreamsById;
    }

    /** Returns the directory with these announcements merged in; the highest sequence of an endpoint wins. */
    public UpstreamDirectory merge(Collection<Upstream> announcements) {
        Map<String, Upstream> merged = new HashMap<>(upstreamsById);
        announcements.forEach(upstream -> merged.merge(upstream.id(), upstream, UpstreamDirectory::newer));
        return new UpstreamDirectory(Map.copyOf(merged));
    }

    /** Returns the directory without announcements that expired before the retention period. */
    public UpstreamDirectory forget(long nowEpochMillis) {
        Map<String, Upstream> kept = new HashMap<>(upstreamsById);
        kept.values().removeIf(upstream -> upstream.expiresAtEpochMillis() + FORGET_AFTER_MILLIS < nowEpochMillis);
        return kept.size() == upstreamsById.size() ? this : new UpstreamDirectory(Map.copyOf(kept));
    }

    /** Finds an endpoint, whether available or not. */
    public Optional<Upstream> find(String service, String endpoint) {
        return Optional.ofNullable(upstreamsById.get(service + "/" + endpoint));
    }

    /** Returns every record. */
    public Collection<Upstream> all() {
        return upstreamsById.values();
    }

    /**
     * Returns the endpoints of a service in a zone that may receive new requests, ordered by name. If more than half of
     * them have expired at once, a fault on the announcement path is more likely than that of the endpoints: then all
     * last known ones are returned, and request outcomes decide.
     */
    public List<Upstream> available(String service, String zone, long nowEpochMillis) {
        List<Upstream> known = upstreamsById.values().stream()
                .filter(upstream -> upstream.service().equals(service))
                .filter(upstream -> upstream.zone().equals(zone) && !upstream.leaving())
                .filter(upstream -> upstream.expiresAtEpochMillis() + FORGET_AFTER_MILLIS > nowEpochMillis)
                .sorted(Comparator.comparing(Upstream::endpoint))
                .toList();
        List<Upstream> fresh = known.stream()
                .filter(upstream -> upstream.isAvailableAt(nowEpochMillis))
                .toList();
        return 2 * fresh.size() < known.size() ? known : fresh;
    }

    /** Returns a hash of ids and sequences, equal for directories with the same announcements. */
    public long digest() {
        long digest = 0;
        for (Upstream upstream : upstreamsById.values()) {
            digest += mix(upstream.id().hashCode() * 31L + upstream.sequence());
        }
        return digest;
    }

    private static Upstream newer(Upstream left, Upstream right) {
        return right.sequence() > left.sequence() ? right : left;
    }

    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }
}
