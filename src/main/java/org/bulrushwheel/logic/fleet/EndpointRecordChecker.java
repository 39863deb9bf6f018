package org.bulrushwheel.logic.fleet;

import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.bulrushwheel.logic.config.CidrPrefix;
import org.bulrushwheel.model.instance.Address;
import org.bulrushwheel.model.proto.EndpointRecord;

/**
 * Finds announcements that no endpoint can have made: anyone who reaches a control instance can send one, and every
 * entry instance would act on it.
 *
 * <p>Stateless and thread safe.
 */
public final class EndpointRecordChecker {
    /** Highest number of concurrent requests that an endpoint may announce. */
    public static final int MAX_SLOTS = 100_000;

    private static final int MAX_NAME_CHARACTERS = 256;
    // Larger integers are not exact in JSON.
    private static final long MAX_SEQUENCE = 1L << 53;
    private static final long MAX_BORN_EPOCH_MILLIS =
            Instant.parse("2200-01-01T00:00:00Z").toEpochMilli();
    private static final long MAX_COLD_MILLIS = TimeUnit.DAYS.toMillis(1);

    private EndpointRecordChecker() {}

    /** Returns what is wrong with a record and how to correct it; empty if an endpoint can have announced it. */
    public static Optional<String> fault(EndpointRecord record) {
        if (!isName(record.getId()) || !isName(record.getService()) || !isName(record.getZone())) {
            return Optional.of("id, service and zone must have 1 to " + MAX_NAME_CHARACTERS + " characters");
        }
        if (!isAddress(record.getAddress())) {
            return Optional.of("'" + record.getAddress() + "' is not an IP address with a port; write it as IP:PORT");
        }
        if (record.getSlots() < 1 || record.getSlots() > MAX_SLOTS) {
            return Optional.of("slots must be from 1 to " + MAX_SLOTS);
        }
        if (!isBetween(0, record.getSequence(), MAX_SEQUENCE)) {
            return Optional.of("the sequence must be from 0 to " + MAX_SEQUENCE);
        }
        if (!isBetween(0, record.getBornEpochMillis(), MAX_BORN_EPOCH_MILLIS)) {
            return Optional.of("the start must be from 0 to " + MAX_BORN_EPOCH_MILLIS + " ms since 1970");
        }
        if (!isBetween(0, record.getColdRemainingMillis(), MAX_COLD_MILLIS)) {
            return Optional.of("the remaining cold time must be from 0 to " + MAX_COLD_MILLIS + " ms");
        }
        return Optional.empty();
    }

    private static boolean isName(String text) {
        return !text.isBlank() && text.length() <= MAX_NAME_CHARACTERS;
    }

    private static boolean isAddress(String text) {
        try {
            Address address = Address.parse(text);
            return address.port() > 0 && CidrPrefix.parseAddress(address.host()).isPresent();
        } catch (IllegalArgumentException e) {
            // Not of the form IP:PORT, which the caller reports.
            return false;
        }
    }

    private static boolean isBetween(long least, long value, long most) {
        return value >= least && value <= most;
    }
}
