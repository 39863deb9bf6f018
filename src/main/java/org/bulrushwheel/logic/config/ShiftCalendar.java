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
 * Tells shifts from breaks.
 *
 * <p>Immutable and thread safe.
 */
public final class ShiftCalendar {
    private static final Duration STEP = Duration.ofMinutes(1);
    private static final int MINUTES_SEARCHED = 2 * 24 * 60;

    private final ZoneId timeZone;
    private final List<Shift> shifts;

    /** A calendar of the configuration's shifts. */
    public ShiftCalendar(Configuration configuration) {
        this.timeZone = ZoneId.of(configuration.timeZone());
        this.shifts = configuration.shifts();
    }

    /** Returns the shift that covers this time, or none in a break. */
    public Optional<Shift> shiftAt(long epochMillis) {
        LocalTime time = timeOf(epochMillis).toLocalTime();
        return shifts.stream().filter(shift -> covers(shift, time)).findFirst();
    }

    /** Whether changes are allowed at this time. */
    public boolean isBreak(long epochMillis) {
        return shiftAt(epochMillis).isEmpty();
    }

    /** Returns the start of the next break at or after this time, or none when shifts fill the day. */
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

    /** Returns the day of this time in the calendar's time zone. */
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
