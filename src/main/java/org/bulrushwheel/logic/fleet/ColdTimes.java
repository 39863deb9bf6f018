package org.bulrushwheel.logic.fleet;

import java.util.HashMap;
import java.util.Map;

import org.bulrushwheel.model.proto.EndpointRecord;

/**
 * The ends of the cold times of endpoints that control has agreed on through this replica. An endpoint may become cold
 * again before its cold time is over.
 *
 * <p>Invariant: only ends that are still to come are kept. Not thread safe.
 */
public final class ColdTimes {
    // The announcements of one cold time arrive with different delays.
    private static final long MAX_DELAY_DIFFERENCE_MILLIS = 500;

    private final Map<String, Long> agreedEndsMillis = new HashMap<>();

    /** Whether an announcement that has just arrived names a later end than the one that was agreed on. */
    public boolean isExtendedBy(EndpointRecord record, long nowMillis) {
        agreedEndsMillis.values().removeIf(endMillis -> endMillis <= nowMillis);
        return record.getColdRemainingMillis() > 0
                && nowMillis + record.getColdRemainingMillis()
                        > agreedEndsMillis.getOrDefault(record.getId(), nowMillis) + MAX_DELAY_DIFFERENCE_MILLIS;
    }

    /** Records that an announcement was agreed on which arrived at the given time. */
    public void onAgreed(EndpointRecord record, long arrivedMillis) {
        agreedEndsMillis.put(record.getId(), arrivedMillis + record.getColdRemainingMillis());
    }
}
