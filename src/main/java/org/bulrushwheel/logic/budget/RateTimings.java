package org.bulrushwheel.logic.budget;

/**
 * Timings of granted rates.
 *
 * <p>Immutable and thread safe.
 *
 * @param validMillis how long a holder may use a granted rate, measured from its request
 * @param marginMillis time that the owner adds for clock drift
 * @param renewMillis interval between the requests of a holder
 * @param takeoverMillis how long a new owner waits before it grants
 */
public record RateTimings(long validMillis, long marginMillis, long renewMillis, long takeoverMillis) {
    /** Timings of shift caps. */
    public static final RateTimings CAPS = new RateTimings(2_000, 200, 500, 5_000);
}
