package org.bulrushwheel.logic.upstream;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.bulrushwheel.model.upstream.Upstream;

/**
 * Known endpoints by identity. Merging is commutative and idempotent, so the order of news does not matter.
 *
 * <p>Immutable and thread safe.
 */
public final class UpstreamDirectory {
    /** A directory without endpoints. */
    public static final UpstreamDirectory EMPTY = new UpstreamDirectory(Map.of());

    /** How long a leave or an expired endpoint is remembered, so that older news cannot bring it back. */
    public static final long FORGET_AFTER_MILLIS = 60_000;

    private final Map<String, Upstream> upstreamsById;

    private UpstreamDirectory(Map<String, Upstream> upstreamsById) {
        this.upstreamsById = upstreamsById;
    }

    /** Returns the directory with these announcements merged in; of one endpoint the highest sequence stands. */
    public UpstreamDirectory merge(Collection<Upstream> news) {
        Map<String, Upstream> merged = new HashMap<>(upstreamsById);
        news.forEach(upstream -> merged.merge(upstream.id(), upstream, UpstreamDirectory::newer));
        return new UpstreamDirectory(Map.copyOf(merged));
    }

    /** Returns the directory without what ended long before this time. */
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
     * Returns the endpoints of a service in a zone that may get new work, ordered by name. When most of them stop to
     * announce themselves together, the fault is more likely on the way here: the last known ones stay, and outcomes
     * decide.
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

    /** A value that two directories share when they hold the same announcements. */
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
