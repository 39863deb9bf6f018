package org.bulrushwheel.logic.steering;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.bulrushwheel.model.config.Configuration;
import org.bulrushwheel.model.config.DrainKind;
import org.bulrushwheel.model.upstream.Upstream;

/**
 * Computes how many slots of each endpoint may be granted: none of an endpoint that is leaving or drained, and a
 * growing share of one that has just started (slow start).
 *
 * <p>Stateless and thread safe.
 */
public final class EndpointLimits {
    /** Time over which the limit of a new endpoint grows to all its slots. */
    public static final long SLOW_START_MILLIS = 10_000;

    private static final double INITIAL_SHARE = 0.25;

    private EndpointLimits() {}

    /** Returns the limits of the available endpoints of a zone. */
    public static Map<String, Integer> of(
            Collection<Upstream> available, Configuration configuration, String zone, long nowEpochMillis) {
        Map<String, Integer> limits = new HashMap<>();
        boolean drained = configuration.isDrained(DrainKind.ZONE, zone)
                || configuration
                        .regionOf(zone)
                        .filter(region -> configuration.isDrained(DrainKind.REGION, region))
                        .isPresent();
        for (Upstream upstream : available) {
            if (!drained && !configuration.isDrained(DrainKind.ENDPOINT, upstream.endpoint())) {
                limits.put(upstream.endpoint(), slots(upstream, nowEpochMillis));
            }
        }
        return limits;
    }

    private static int slots(Upstream upstream, long nowEpochMillis) {
        double age = Math.max(0, nowEpochMillis - upstream.startedAtEpochMillis()) / (double) SLOW_START_MILLIS;
        double share = Math.min(1, INITIAL_SHARE + (1 - INITIAL_SHARE) * age);
        return Math.max(1, (int) (upstream.slots() * share));
    }
}
