package org.bulrushwheel.measure.capacity;

/**
 * One row of the capacity table.
 *
 * <p>Immutable and thread safe.
 *
 * @param role role whose resource usage is estimated
 * @param quantity estimated quantity
 * @param unit unit of the estimates and of the bound
 * @param today estimate at the current fleet size
 * @param planned estimate at the planned fleet size
 * @param bound upper bound at the planned fleet size, NaN if there is none
 * @param mechanism mechanism that determines the cost
 */
public record CapacityRow(
        String role, String quantity, String unit, double today, double planned, double bound, String mechanism) {
    /** Returns whether the estimate at the planned size is within the bound; true if there is no bound. */
    public boolean isMet() {
        return Double.isNaN(bound) || planned <= bound;
    }
}
