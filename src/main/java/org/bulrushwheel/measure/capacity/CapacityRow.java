package org.bulrushwheel.measure.capacity;

/**
 * One line of the table.
 *
 * <p>Immutable and thread safe.
 *
 * @param role role
 * @param quantity what is counted
 * @param unit unit
 * @param today at today's size
 * @param planned at the planned size
 * @param bound bound at the planned size, NaN for none
 * @param mechanism what carries it
 */
public record CapacityRow(
        String role, String quantity, String unit, double today, double planned, double bound, String mechanism) {
    /** Whether the planned size keeps the bound; true where there is none. */
    public boolean isMet() {
        return Double.isNaN(bound) || planned <= bound;
    }
}
