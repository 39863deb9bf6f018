package org.bulrushwheel.logic.steering;

/** What the use of a slot says about its endpoint. */
public enum SlotOutcome {
    SUCCESS,
    FAILURE,
    NEUTRAL
}
