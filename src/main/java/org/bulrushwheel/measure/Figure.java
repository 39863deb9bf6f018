package org.bulrushwheel.measure;

/**
 * One row of a measurement.
 *
 * <p>Immutable and thread safe.
 *
 * @param name what was measured
 * @param unit unit of both values
 * @param baseline value of the baseline in the same run, NaN where there is none
 * @param now value of the product
 * @param seed seed of the run, 0 where there is none
 */
public record Figure(String name, String unit, double baseline, double now, long seed) {
    /** Value of the product as a share of the baseline. */
    public double ratio() {
        return now / baseline;
    }
}
