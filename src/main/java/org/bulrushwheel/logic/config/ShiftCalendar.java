package org.bulrushwheel.logic.config;

import java.time.Duration;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.ZonedDateTime;
import java.util.List;
import java.util.Optional;

import org.bulrushwheel.model.config.Configuration;
import org.bulrushwheel.model.config.Shift;

/**
 * Determines which shift is active at a given time, or that it is a break.
 *
 * <p>Immutable and thread safe.
 */
public final class ShiftCalendar {
    private static final Duration STEP = Duration.ofMinutes(1);
    private static final int MINUTES_SEARCHED = 2 * 24 * 60;

    private final ZoneId timeZone;
    private final List<Shift> shifts;

    /** Creates the calendar of a configuration's shifts. */
    public ShiftCalendar(Configuration configuration) {
        this.timeZone = ZoneId.of(configuration.timeZone());
        this.shifts = configuration.shifts();
    }

    /** Returns the shift that covers this time; empty during a break. */
    public Optional<Shift> shiftAt(long epochMillis) {
        LocalTime time = timeOf(epochMillis).toLocalTime();
        return shifts.stream().filter(shift -> covers(shift, time)).findFirst();
    }

    /** Whether this time is outside every shift, so that configuration changes are allowed. */
    public boolean isBreak(long epochMillis) {
        return shiftAt(epochMillis).isEmpty();
    }

    /** Returns this time if it is in a break, else the start of the next break; empty when shifts cover the whole day. */
    public Optional<ZonedDateTime> nextBreak(long epochMillis) {
        ZonedDateTime time = timeOf(epochMillis);
        for (int minute = 0; minute <= MINUTES_SEARCHED; minute++) {
            if (isBreak(time.toInstant().toEpochMilli())) {
                return Optional.of(time);
            }
            time = time.truncatedTo(java.time.temporal.ChronoUnit.MINUTES).plus(STEP);
        }
        return Optional.empty();
    }

    /** Returns the date of this time in the calendar's time zone. */
    public LocalDate dayOf(long epochMillis) {
        return timeOf(epochMillis).toLocalDate();
    }

    private ZonedDateTime timeOf(long epochMillis) {
        return Instant.ofEpochMilli(epochMillis).atZone(timeZone);
    }

    private static boolean covers(Shift shift, LocalTime time) {
        LocalTime start = LocalTime.parse(shift.startTime());
        LocalTime end = LocalTime.parse(shift.endTime());
        boolean afterStart = !time.isBefore(start);
        boolean beforeEnd = time.isBefore(end);
        return start.isBefore(end) ? afterStart && beforeEnd : afterStart || beforeEnd;
    }
}
