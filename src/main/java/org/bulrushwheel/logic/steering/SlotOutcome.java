package org.bulrushwheel.logic.steering;

/** Outcome of a request on a slot, as input for outlier detection; neutral outcomes are ignored. */
public enum SlotOutcome {
    SUCCESS,
    FAILURE,
    NEUTRAL
}
