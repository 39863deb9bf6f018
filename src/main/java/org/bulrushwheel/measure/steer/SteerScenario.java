package org.bulrushwheel.measure.steer;

/** What happens in the middle of a run. */
enum SteerScenario {
    STEADY,
    ENDPOINT_LEAVES,
    ZONE_LOST
}
