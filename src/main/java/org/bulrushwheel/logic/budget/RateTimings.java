package org.bulrushwheel.logic.budget;

/**
 * Times of granted rates.
 *
 * <p>Immutable and thread safe.
 *
 * @param validMillis how long a holder may use a rate, from when it asked
 * @param marginMillis what the owner adds for clocks that run apart
 * @param renewMillis time between requests of a holder
 * @param takeoverMillis how long a new owner waits before it grants
 */
public record RateTimings(long validMillis, long marginMillis, long renewMillis, long takeoverMillis) {
    /** Times of shift caps. */
    public static final RateTimings CAPS = new RateTimings(2_000, 200, 500, 5_000);
}
